// Package query is the operators' language: one grammar for the API and the
// command line.
//
//	show <table> [where <column> <op> <value> [and ...]] [sort by <column> [desc]] [limit <n>]
//	explain request|upstream|host|model|change <id>
//	set <object> <name> <key>=<value> ...
//	drain host|node|upstream <id>
//	clear poison|leaving|<object> <id>
//	clear drain host/<id>|upstream/<id>
//	dump
//
// Invariants: parsing and checking need nothing but the text and the schema;
// every error names the column of the text and what was expected there.
package query

import "github.com/alecthomas/participle/v2/lexer"

// Command is one command. Exactly one field is set.
type Command struct {
	Show    *Show    `parser:"  @@"`
	Explain *Explain `parser:"| @@"`
	Set     *Set     `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Clear   *Clear   `parser:"| @@"`
	Dump    bool     `parser:"| @\"dump\""`
}

// Changes reports whether the command changes anything.
func (c *Command) Changes() bool {
	return c.Set != nil || c.Drain != nil || c.Clear != nil
}

// Word is one word or quoted string, with its place.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Show lists rows of a table.
type Show struct {
	Table Word         `parser:"\"show\" @@"`
	Where []*Condition `parser:"( \"where\" @@ ( \"and\" @@ )* )?"`
	Sort  *Sort        `parser:"( \"sort\" \"by\" @@ )?"`
	Limit *Word        `parser:"( \"limit\" @@ )?"`
}

// Condition compares a column with a value. The operators are = != < <= > >= and ~ (contains).
type Condition struct {
	Column Word `parser:"@@"`
	Op     Op   `parser:"@@"`
	Value  Word `parser:"@@"`
}

// Op is a comparison, with its place.
type Op struct {
	Pos  lexer.Position
	Text string `parser:"@Operator"`
}

// Sort orders rows by a column.
type Sort struct {
	Column Word `parser:"@@"`
	Desc   bool `parser:"( @\"desc\" | \"asc\" )?"`
}

// Explain asks why something was decided.
type Explain struct {
	Kind Word `parser:"\"explain\" @@"`
	ID   Word `parser:"@@"`
}

// Set declares an object of the configuration, or changes some of its keys.
type Set struct {
	Object Word     `parser:"\"set\" @@"`
	Name   Word     `parser:"@@"`
	Fields []*Field `parser:"@@+"`
}

// Field gives one key a value.
type Field struct {
	Key   Word `parser:"@@"`
	Value Word `parser:"\"=\" @@"`
}

// Drain empties something by plan.
type Drain struct {
	Kind Word `parser:"\"drain\" @@"`
	ID   Word `parser:"@@"`
}

// Clear takes back something that the system has noted, or removes an object.
type Clear struct {
	Kind Word `parser:"\"clear\" @@"`
	ID   Word `parser:"@@"`
}
