package query

import "slices"

// Type is the type of a column or key.
type Type string

// The types.
const (
	TypeText   Type = "text"
	TypeNumber Type = "number"
	TypeBool   Type = "true or false"
	// TypeList is a list of words with commas between them.
	TypeList Type = "list"
)

// Column is one column of a table, or one key of an object.
type Column struct {
	Name string
	Type Type
	// Doc describes the values, with their unit.
	Doc string
}

// Table is a table that can be shown.
type Table struct {
	Name    string
	Doc     string
	Columns []Column
	// PerNode is true if each node keeps its own part of the rows; show then asks all nodes.
	PerNode bool
}

// Column returns the index of the column called name.
func (t *Table) Column(name string) (int, bool) {
	for i, column := range t.Columns {
		if column.Name == name {
			return i, true
		}
	}
	return 0, false
}

// Object is an object of the configuration that can be set.
type Object struct {
	Name string
	Doc  string
	// NameDoc describes its name.
	NameDoc string
	Keys    []Column
	// Removable is true if clear can remove it.
	Removable bool
}

// Schema defines the tables and objects of the language.
type Schema struct {
	Tables  []Table
	Objects []Object
}

// The kinds that explain, drain and clear accept; clear also accepts removable objects.
var (
	ExplainKinds    = []string{"request", "upstream", "host", "model", "change"}
	DrainKinds      = []string{"host", "node", "upstream"}
	clearStateKinds = []string{"poison", "leaving", KindDrain}
)

// Kinds that drain and clear have in common with the configuration.
const (
	// KindDrain is the kind of a drain in clear commands.
	KindDrain = "drain"
	// KindHost and KindUpstream are the kinds of drains that the configuration holds.
	KindHost     = "host"
	KindUpstream = "upstream"
)

// ClearKinds returns the kinds that clear accepts: recorded state, drains and removable
// objects.
func (s Schema) ClearKinds() []string {
	out := slices.Clone(clearStateKinds)
	for _, object := range s.Objects {
		if object.Removable {
			out = append(out, object.Name)
		}
	}
	return out
}

// Table returns the table called name.
func (s Schema) Table(name string) (*Table, bool) {
	for i := range s.Tables {
		if s.Tables[i].Name == name {
			return &s.Tables[i], true
		}
	}
	return nil, false
}

// Object returns the object called name.
func (s Schema) Object(name string) (*Object, bool) {
	for i := range s.Objects {
		if s.Objects[i].Name == name {
			return &s.Objects[i], true
		}
	}
	return nil, false
}

func (s Schema) tableNames() []string {
	var out []string
	for _, table := range s.Tables {
		out = append(out, table.Name)
	}
	return out
}

func (s Schema) objectNames() []string {
	var out []string
	for _, object := range s.Objects {
		out = append(out, object.Name)
	}
	return out
}

func columnNames(columns []Column) []string {
	var out []string
	for _, column := range columns {
		out = append(out, column.Name)
	}
	return out
}
