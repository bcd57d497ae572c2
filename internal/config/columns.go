package config

import (
	"strconv"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// column is one column of a table that operators may set.
type column[T any] struct {
	name    string
	allowed string
	// set reads value into the row and reports whether it could.
	set func(row *T, value string) bool
}

const (
	aWholeNumber = "a whole number"
	aNumber      = "a number"
	trueOrFalse  = "true or false"
)

func intColumn[T any](name string, field func(*T) *int) column[T] {
	return column[T]{name: name, allowed: aWholeNumber, set: func(row *T, value string) bool {
		n, err := strconv.Atoi(value)
		*field(row) = n
		return err == nil
	}}
}

func floatColumn[T any](name string, field func(*T) *float64) column[T] {
	return column[T]{name: name, allowed: aNumber, set: func(row *T, value string) bool {
		x, err := strconv.ParseFloat(value, 64)
		*field(row) = x
		return err == nil
	}}
}

func boolColumn[T any](name string, field func(*T) *bool) column[T] {
	return column[T]{name: name, allowed: trueOrFalse, set: func(row *T, value string) bool {
		b, err := strconv.ParseBool(value)
		*field(row) = b
		return err == nil
	}}
}

var modelColumns = []column[Model]{
	{name: "version", allowed: aName, set: func(m *Model, v string) bool { m.Version = ident.Version(v); return true }},
	{name: "adapters", allowed: "names with commas between", set: setAdapters},
	intColumn("replicas", func(m *Model) *int { return &m.Replicas }),
	intColumn("priority", func(m *Model) *int { return &m.Priority }),
	{name: "role", allowed: aName, set: func(m *Model, v string) bool { m.Role = ident.Role(v); return true }},
}

var serviceColumns = []column[Service]{
	boolColumn("repeatable", func(s *Service) *bool { return &s.Repeatable }),
}

var workspaceColumns = []column[Workspace]{
	floatColumn("share", func(w *Workspace) *float64 { return &w.Share }),
	intColumn("maxInFlight", func(w *Workspace) *int { return &w.MaxInFlight }),
}

var kindColumns = []column[Kind]{
	floatColumn("worth", func(k *Kind) *float64 { return &k.Worth }),
}

var capacityColumns = []column[Capacity]{
	intColumn("maxHosts", func(c *Capacity) *int { return &c.MaxHosts }),
	floatColumn("maxPricePerHour", func(c *Capacity) *float64 { return &c.MaxPricePerHour }),
	boolColumn("checksFencing", func(c *Capacity) *bool { return &c.ChecksFencing }),
}

var weightsColumns = []column[Weights]{
	floatColumn("latency", func(w *Weights) *float64 { return &w.Latency }),
}

func setAdapters(m *Model, value string) bool {
	m.Adapters = nil
	if value == "" {
		return true
	}
	for _, name := range strings.Split(value, ",") {
		m.Adapters = append(m.Adapters, ident.Adapter(name))
	}
	return true
}

// Columns lists the columns of a table that operators may set, for help and completion.
func Columns(table Table) []string {
	switch table {
	case TableModel:
		return columnNames(modelColumns)
	case TableService:
		return columnNames(serviceColumns)
	case TableWorkspace:
		return columnNames(workspaceColumns)
	case TableKind:
		return columnNames(kindColumns)
	case TableCapacity:
		return columnNames(capacityColumns)
	case TableWeights:
		return columnNames(weightsColumns)
	}
	return nil
}

func columnNames[T any](columns []column[T]) []string {
	out := make([]string, 0, len(columns))
	for _, c := range columns {
		out = append(out, c.name)
	}
	return out
}
