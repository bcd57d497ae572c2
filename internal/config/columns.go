package config

import (
	"strconv"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

// column is a table column that operators may set.
type column[T any] struct {
	name string
	// allowed describes the valid values, for Fault.Allowed.
	allowed string
	// set parses value into the row and reports whether it was valid.
	set func(row *T, value string) bool
}

const (
	allowedInteger = "a whole number"
	allowedNumber  = "a number"
	allowedBool    = "true or false"
)

// intColumn returns a column for an integer field.
func intColumn[T any](name string, field func(*T) *int) column[T] {
	return column[T]{name: name, allowed: allowedInteger, set: func(row *T, value string) bool {
		n, err := strconv.Atoi(value)
		*field(row) = n
		return err == nil
	}}
}

// floatColumn returns a column for a floating-point field.
func floatColumn[T any](name string, field func(*T) *float64) column[T] {
	return column[T]{name: name, allowed: allowedNumber, set: func(row *T, value string) bool {
		x, err := strconv.ParseFloat(value, 64)
		*field(row) = x
		return err == nil
	}}
}

// boolColumn returns a column for a boolean field.
func boolColumn[T any](name string, field func(*T) *bool) column[T] {
	return column[T]{name: name, allowed: allowedBool, set: func(row *T, value string) bool {
		b, err := strconv.ParseBool(value)
		*field(row) = b
		return err == nil
	}}
}

var modelColumns = []column[Model]{
	{name: "version", allowed: allowedName, set: func(m *Model, v string) bool { m.Version = ident.Version(v); return true }},
	{name: "adapters", allowed: "names with commas between", set: setAdapters},
	intColumn("replicas", func(m *Model) *int { return &m.Replicas }),
	intColumn("priority", func(m *Model) *int { return &m.Priority }),
	{name: "role", allowed: allowedName, set: func(m *Model, v string) bool { m.Role = ident.Role(v); return true }},
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

// setAdapters sets the adapters from a comma-separated list; the empty string clears them.
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

// Columns returns the names of the columns of a table that operators may set, for help and completion.
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
