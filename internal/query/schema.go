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
	// Doc says what it means, with its unit.
	Doc string
}

// Table is a table that can be shown.
type Table struct {
	Name    string
	Doc     string
	Columns []Column
	// EachNode is true when each node keeps rows of its own; show then asks all nodes.
	EachNode bool
}

// Column finds a column by name.
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
	// NameDoc says what its name is.
	NameDoc string
	Keys    []Column
	// Removable is true when clear takes it away.
	Removable bool
}

// Schema says which tables and objects there are.
type Schema struct {
	Tables  []Table
	Objects []Object
}

// What the commands explain, drain and clear may be given.
var (
	ExplainKinds = []string{"request", "upstream", "host", "model", "change"}
	DrainKinds   = []string{"host", "node", "upstream"}
	clearNotes   = []string{"poison", "leaving", KindDrain}
)

// Words of drain and clear.
const (
	// KindDrain is what clear calls a drain.
	KindDrain = "drain"
	// KindHost and KindUpstream are what drain may be told to keep new work from.
	KindHost     = "host"
	KindUpstream = "upstream"
)

// ClearKinds returns what clear may be given: what the system has noted, and objects.
func (s Schema) ClearKinds() []string {
	out := slices.Clone(clearNotes)
	for _, object := range s.Objects {
		if object.Removable {
			out = append(out, object.Name)
		}
	}
	return out
}

// Table finds a table by name.
func (s Schema) Table(name string) (*Table, bool) {
	for i := range s.Tables {
		if s.Tables[i].Name == name {
			return &s.Tables[i], true
		}
	}
	return nil, false
}

// Object finds an object by name.
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
