package config

import (
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// The markets as keys of capacity spell them.
const (
	marketReclaimable = "reclaimable"
	marketOnDemand    = "on-demand"
)

// newPriority is the priority of a model that is added without one.
const newPriority = 5

// rowKey reads and writes the key of a row.
type rowKey[T any] struct {
	get func(*T) string
	// make returns a new row with a key.
	make func(key string) T
}

var (
	modelKey = rowKey[Model]{
		get:  func(m *Model) string { return string(m.Name) },
		make: func(key string) Model { return Model{Name: ident.Model(key), Priority: newPriority} },
	}
	serviceKey = rowKey[Service]{
		get:  func(s *Service) string { return string(s.Name) },
		make: func(key string) Service { return Service{Name: ident.Service(key)} },
	}
	workspaceKey = rowKey[Workspace]{
		get:  func(w *Workspace) string { return string(w.Name) },
		make: func(key string) Workspace { return Workspace{Name: ident.Workspace(key), Share: 1} },
	}
	kindKey = rowKey[Kind]{
		get:  func(k *Kind) string { return string(k.Name) },
		make: func(key string) Kind { return Kind{Name: ident.Kind(key), Worth: 1} },
	}
	capacityKey = rowKey[Capacity]{get: func(c *Capacity) string { return c.key() }, make: newCapacity}
)

// key returns the row's key, "<failure domain>/<host class>/<market>".
func (c *Capacity) key() string {
	market := marketOnDemand
	if c.Reclaimable {
		market = marketReclaimable
	}
	return string(c.FailureDomain) + "/" + string(c.HostClass) + "/" + market
}

// newCapacity makes a row from a whole key.
func newCapacity(key string) Capacity {
	parts := strings.SplitN(key, "/", 3)
	return Capacity{
		FailureDomain: ident.FailureDomain(parts[0]),
		HostClass:     ident.HostClass(parts[1]),
		Reclaimable:   parts[2] == marketReclaimable,
	}
}

// editRow makes an edit to the rows of a table.
func editRow[T any](e Edit, rows *[]T, columns []column[T], key rowKey[T]) []Fault {
	i := slices.IndexFunc(*rows, func(row T) bool { return key.get(&row) == e.Key })
	if e.Remove {
		if i < 0 {
			return []Fault{{Path: string(e.Table), Value: e.Key, Allowed: "one of " + keys(*rows, key)}}
		}
		*rows = slices.Delete(slices.Clone(*rows), i, i+1)
		return nil
	}
	if e.Key == "" {
		return []Fault{{Path: string(e.Table), Value: "", Allowed: aName}}
	}
	if i < 0 {
		*rows = append(*rows, key.make(e.Key))
		i = len(*rows) - 1
	}
	return assign(e, &(*rows)[i], columns)
}

func keys[T any](rows []T, key rowKey[T]) string {
	names := make([]string, 0, len(rows))
	for i := range rows {
		names = append(names, key.get(&rows[i]))
	}
	return strings.Join(names, ", ")
}

// assign gives the columns of a row their values.
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

// editCapacity makes an edit to the capacity, completing a key without a market.
func editCapacity(e Edit, site *Site) []Fault {
	parts := strings.Split(e.Key, "/")
	if len(parts) == 2 {
		e.Key = wholeCapacityKey(e.Key, site)
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

// wholeCapacityKey adds the market to a key; without a row it is the reclaimable one,
// and the key stays as it is when both are there.
func wholeCapacityKey(key string, site *Site) string {
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

// clone returns a copy of site that shares nothing with it.
func clone(site *Site) *Site {
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
