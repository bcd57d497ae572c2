package config

import (
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// The markets as they are written in the keys of TableCapacity.
const (
	marketReclaimable = "reclaimable"
	marketOnDemand    = "on-demand"
)

// defaultPriority is the priority of a model that is added without one.
const defaultPriority = 5

// rowKey reads the key of a row and creates rows by key.
type rowKey[T any] struct {
	get func(*T) string
	// newRow returns a row with the given key and default values.
	newRow func(key string) T
}

var (
	modelKey = rowKey[Model]{
		get:    func(m *Model) string { return string(m.Name) },
		newRow: func(key string) Model { return Model{Name: ident.Model(key), Priority: defaultPriority} },
	}
	serviceKey = rowKey[Service]{
		get:    func(s *Service) string { return string(s.Name) },
		newRow: func(key string) Service { return Service{Name: ident.Service(key)} },
	}
	workspaceKey = rowKey[Workspace]{
		get:    func(w *Workspace) string { return string(w.Name) },
		newRow: func(key string) Workspace { return Workspace{Name: ident.Workspace(key), Share: 1} },
	}
	kindKey = rowKey[Kind]{
		get:    func(k *Kind) string { return string(k.Name) },
		newRow: func(key string) Kind { return Kind{Name: ident.Kind(key), Worth: 1} },
	}
	capacityKey = rowKey[Capacity]{get: func(c *Capacity) string { return c.key() }, newRow: newCapacity}
)

// key returns the key of the row: "<failure domain>/<host class>/<market>".
func (c *Capacity) key() string {
	market := marketOnDemand
	if c.Reclaimable {
		market = marketReclaimable
	}
	return string(c.FailureDomain) + "/" + string(c.HostClass) + "/" + market
}

// newCapacity returns a row for a key with all three parts.
func newCapacity(key string) Capacity {
	parts := strings.SplitN(key, "/", 3)
	return Capacity{
		FailureDomain: ident.FailureDomain(parts[0]),
		HostClass:     ident.HostClass(parts[1]),
		Reclaimable:   parts[2] == marketReclaimable,
	}
}

// editRow applies an edit to the rows of a table.
func editRow[T any](e Edit, rows *[]T, columns []column[T], key rowKey[T]) []Fault {
	i := slices.IndexFunc(*rows, func(row T) bool { return key.get(&row) == e.Key })
	if e.Remove {
		if i < 0 {
			return []Fault{{Path: string(e.Table), Value: e.Key, Allowed: "one of " + joinKeys(*rows, key)}}
		}
		*rows = slices.Delete(slices.Clone(*rows), i, i+1)
		return nil
	}
	if e.Key == "" {
		return []Fault{{Path: string(e.Table), Value: "", Allowed: allowedName}}
	}
	if i < 0 {
		*rows = append(*rows, key.newRow(e.Key))
		i = len(*rows) - 1
	}
	return assign(e, &(*rows)[i], columns)
}

// joinKeys returns the keys of all rows, separated by commas.
func joinKeys[T any](rows []T, key rowKey[T]) string {
	names := make([]string, 0, len(rows))
	for i := range rows {
		names = append(names, key.get(&rows[i]))
	}
	return strings.Join(names, ", ")
}

// assign sets the columns of a row.
func assign[T any](e Edit, row *T, columns []column[T]) []Fault {
	var faults []Fault
	for _, a := range e.Assignments {
		path := string(e.Table) + "/" + e.Key + "/" + a.Column
		i := slices.IndexFunc(columns, func(c column[T]) bool { return c.name == a.Column })
		if i < 0 {
			allowed := "a column of " + string(e.Table) + ": " + strings.Join(columnNames(columns), ", ")
			faults = append(faults, Fault{Path: path, Value: a.Column, Allowed: allowed})
			continue
		}
		if !columns[i].set(row, a.Value) {
			faults = append(faults, Fault{Path: path, Value: a.Value, Allowed: columns[i].allowed})
		}
	}
	return faults
}

// editCapacity applies an edit to the capacity table; a key without a market is completed first.
func editCapacity(e Edit, site *Site) []Fault {
	parts := strings.Split(e.Key, "/")
	if len(parts) == 2 {
		e.Key = completeCapacityKey(e.Key, site)
		parts = strings.Split(e.Key, "/")
	}
	if len(parts) != 3 || (parts[2] != marketReclaimable && parts[2] != marketOnDemand) {
		return []Fault{{
			Path: string(TableCapacity), Value: e.Key,
			Allowed: "<failure domain>/<host class>/reclaimable or <failure domain>/<host class>/on-demand",
		}}
	}
	return editRow(e, &site.Capacity, capacityColumns, capacityKey)
}

// completeCapacityKey adds the market of the existing row to a key. Without a row the
// market is reclaimable; with rows for both markets the key is ambiguous and returned
// unchanged.
func completeCapacityKey(key string, site *Site) string {
	has := func(market string) bool {
		return slices.ContainsFunc(site.Capacity, func(c Capacity) bool { return c.key() == key+"/"+market })
	}
	switch {
	case has(marketReclaimable) && has(marketOnDemand):
		return key
	case has(marketOnDemand):
		return key + "/" + marketOnDemand
	}
	return key + "/" + marketReclaimable
}

// cloneSite returns a deep copy of site.
func cloneSite(site *Site) *Site {
	out := *site
	out.Models = slices.Clone(site.Models)
	for i := range out.Models {
		out.Models[i].Adapters = slices.Clone(out.Models[i].Adapters)
	}
	out.Services = slices.Clone(site.Services)
	out.Workspaces = slices.Clone(site.Workspaces)
	out.Kinds = slices.Clone(site.Kinds)
	out.Capacity = slices.Clone(site.Capacity)
	out.Drains = slices.Clone(site.Drains)
	return &out
}
