package query

import (
	"sort"
	"strconv"
	"strings"
)

// Cell is one value of a row.
type Cell struct {
	Type   Type
	Text   string
	Number float64
	Bool   bool
}

// String returns the cell as text.
func (c Cell) String() string {
	switch c.Type {
	case TypeNumber:
		return strconv.FormatFloat(c.Number, 'f', -1, 64)
	case TypeBool:
		return strconv.FormatBool(c.Bool)
	case TypeText, TypeList:
		return c.Text
	}
	return c.Text
}

// Row holds one cell for each column of its table.
type Row []Cell

// Select returns the rows that show selects, in its order. show must have been checked
// against table.
func Select(show *Show, table *Table, rows []Row) []Row {
	var out []Row
	for _, row := range rows {
		if matches(show.Where, table, row) {
			out = append(out, row)
		}
	}
	if show.Sort != nil {
		index, _ := table.Column(show.Sort.Column.Text)
		sort.SliceStable(out, func(i, j int) bool {
			if show.Sort.Desc {
				return compare(out[j][index], out[i][index]) < 0
			}
			return compare(out[i][index], out[j][index]) < 0
		})
	}
	if show.Limit != nil {
		n, _ := strconv.Atoi(show.Limit.Text)
		out = out[:min(n, len(out))]
	}
	return out
}

// matches reports whether row satisfies all conditions.
func matches(where []*Condition, table *Table, row Row) bool {
	for _, condition := range where {
		index, _ := table.Column(condition.Column.Text)
		if !satisfies(row[index], condition.Op.Text, condition.Value.Text) {
			return false
		}
	}
	return true
}

// satisfies reports whether a cell compared with value by op gives true.
func satisfies(cell Cell, op, value string) bool {
	if op == "~" {
		return strings.Contains(strings.ToLower(cell.String()), strings.ToLower(value))
	}
	c := compare(cell, cellOf(cell.Type, value))
	switch op {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	case ">=":
		return c >= 0
	}
	return false
}

// cellOf returns value as a cell of the given type.
func cellOf(kind Type, value string) Cell {
	out := Cell{Type: kind, Text: value}
	switch kind {
	case TypeNumber:
		out.Number, _ = strconv.ParseFloat(value, 64)
	case TypeBool:
		out.Bool = value == "true"
	case TypeText, TypeList:
	}
	return out
}

// compare returns -1, 0 or 1 for a below, equal to or above b; both have the same type, and
// false is below true.
func compare(a, b Cell) int {
	switch a.Type {
	case TypeNumber:
		switch {
		case a.Number < b.Number:
			return -1
		case a.Number > b.Number:
			return 1
		}
		return 0
	case TypeBool:
		switch {
		case a.Bool == b.Bool:
			return 0
		case b.Bool:
			return -1
		}
		return 1
	case TypeText, TypeList:
	}
	return strings.Compare(a.Text, b.Text)
}
