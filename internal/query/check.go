package query

import (
	"slices"
	"strconv"
	"strings"
)

// check finds errors that the grammar does not exclude: unknown names and values of the
// wrong type.
func (s Schema) check(c *Command) error {
	switch {
	case c.Show != nil:
		return s.checkShow(c.Show)
	case c.Set != nil:
		return s.checkSet(c.Set)
	case c.Explain != nil:
		return checkKind(c.Explain.Kind, ExplainKinds)
	case c.Drain != nil:
		return checkKind(c.Drain.Kind, DrainKinds)
	case c.Clear != nil:
		return s.checkClear(c.Clear)
	}
	return nil
}

// checkClear checks the kind, and the form of a drain's key.
func (s Schema) checkClear(c *Clear) error {
	if err := checkKind(c.Kind, s.ClearKinds()); err != nil {
		return err
	}
	if c.Kind.Text != KindDrain {
		return nil
	}
	kind, id, _ := strings.Cut(c.ID.Text, "/")
	if id == "" || (kind != KindHost && kind != KindUpstream) {
		return errorAt(c.ID, "host/<id> or upstream/<id>, as in `show drains`")
	}
	return nil
}

// checkKind checks that kind is allowed.
func checkKind(kind Word, allowed []string) error {
	if slices.Contains(allowed, kind.Text) {
		return nil
	}
	return errorAt(kind, oneOf(allowed))
}

// checkShow checks the table, conditions, sort column and limit.
func (s Schema) checkShow(show *Show) error {
	table, ok := s.Table(show.Table.Text)
	if !ok {
		return errorAt(show.Table, "a table: "+oneOf(s.tableNames()))
	}
	for _, condition := range show.Where {
		if err := checkCondition(table, condition); err != nil {
			return err
		}
	}
	if show.Sort != nil {
		if _, ok := table.Column(show.Sort.Column.Text); !ok {
			return errorAt(show.Sort.Column, expectedColumn(table))
		}
	}
	if show.Limit != nil {
		if n, err := strconv.Atoi(show.Limit.Text); err != nil || n < 1 {
			return errorAt(*show.Limit, "a whole number from 1 up")
		}
	}
	return nil
}

// expectedColumn lists the columns of table, for Error.Expected.
func expectedColumn(table *Table) string {
	return "a column of " + table.Name + ": " + oneOf(columnNames(table.Columns))
}

// checkCondition checks that the column exists and that its type allows the operator and
// the value.
func checkCondition(table *Table, condition *Condition) error {
	index, ok := table.Column(condition.Column.Text)
	if !ok {
		return errorAt(condition.Column, expectedColumn(table))
	}
	column := table.Columns[index]
	op := condition.Op.Text
	switch {
	case column.Type == TypeBool && op != "=" && op != "!=":
		return &Error{Column: condition.Op.Pos.Column, Found: op, Expected: "= or !=, since " + column.Name + " is true or false"}
	case column.Type == TypeNumber && op == "~":
		return &Error{Column: condition.Op.Pos.Column, Found: op, Expected: "= != < <= > or >=, since " + column.Name + " is a number"}
	}
	return checkValue(column, condition.Value)
}

// checkValue checks that value has the type of column.
func checkValue(column Column, value Word) error {
	switch column.Type {
	case TypeNumber:
		if _, err := strconv.ParseFloat(value.Text, 64); err != nil {
			return errorAt(value, "a number, since "+column.Name+" is "+column.Doc)
		}
	case TypeBool:
		if value.Text != "true" && value.Text != "false" {
			return errorAt(value, "true or false")
		}
	case TypeText, TypeList:
	}
	return nil
}

// checkSet checks the object, its keys and their values; each key may occur once.
func (s Schema) checkSet(set *Set) error {
	object, ok := s.Object(set.Object.Text)
	if !ok {
		return errorAt(set.Object, "an object: "+oneOf(s.objectNames()))
	}
	seen := make(map[string]bool)
	for _, field := range set.Fields {
		index := slices.IndexFunc(object.Keys, func(c Column) bool { return c.Name == field.Key.Text })
		if index < 0 {
			return errorAt(field.Key, "a key of "+object.Name+": "+oneOf(columnNames(object.Keys)))
		}
		if seen[field.Key.Text] {
			return errorAt(field.Key, "each key once")
		}
		seen[field.Key.Text] = true
		if err := checkValue(object.Keys[index], field.Value); err != nil {
			return err
		}
	}
	return nil
}
