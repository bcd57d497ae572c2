// Package query parses and checks the operators' language, which the operator
// API and the command line share, and selects the rows of show commands.
//
//	show <table> [where <column> <op> <value> [and ...]] [sort by <column> [desc]] [limit <n>]
//	explain request|upstream|host|model|change <id>
//	set <object> <name> <key>=<value> ...
//	drain host|node|upstream <id>
//	clear poison|leaving|<object> <id>
//	clear drain host/<id>|upstream/<id>
//	dump
//
// Invariants: parsing and checking depend only on the text and the schema; every
// error gives the column in the text and what was expected there.
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

// Word is a word or quoted string, with its position.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Show is the command that lists rows of a table.
type Show struct {
	Table Word         `parser:"\"show\" @@"`
	Where []*Condition `parser:"( \"where\" @@ ( \"and\" @@ )* )?"`
	Sort  *Sort        `parser:"( \"sort\" \"by\" @@ )?"`
	Limit *Word        `parser:"( \"limit\" @@ )?"`
}

// Condition compares a column with a value. The operators are = != < <= > >= and ~ (contains,
// ignoring case).
type Condition struct {
	Column Word `parser:"@@"`
	Op     Op   `parser:"@@"`
	Value  Word `parser:"@@"`
}

// Op is a comparison operator, with its position. Parse errors name Op, Condition, Sort,
// Field and Word; expectedWords translates them.
type Op struct {
	Pos  lexer.Position
	Text string `parser:"@Operator"`
}

// Sort orders rows by a column, ascending unless Desc is set.
type Sort struct {
	Column Word `parser:"@@"`
	Desc   bool `parser:"( @\"desc\" | \"asc\" )?"`
}

// Explain is the command that lists the decisions about a subject.
type Explain struct {
	Kind Word `parser:"\"explain\" @@"`
	ID   Word `parser:"@@"`
}

// Set is the command that declares an object of the configuration or changes some of its keys.
type Set struct {
	Object Word     `parser:"\"set\" @@"`
	Name   Word     `parser:"@@"`
	Fields []*Field `parser:"@@+"`
}

// Field assigns a value to one key.
type Field struct {
	Key   Word `parser:"@@"`
	Value Word `parser:"\"=\" @@"`
}

// Drain is the command for the planned emptying of a host, node or upstream.
type Drain struct {
	Kind Word `parser:"\"drain\" @@"`
	ID   Word `parser:"@@"`
}

// Clear is the command that clears recorded state, or removes an object or a drain.
type Clear struct {
	Kind Word `parser:"\"clear\" @@"`
	ID   Word `parser:"@@"`
}
