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

// String returns the cell as tables show it.
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

// Select returns the rows that show asks for, in its order. show has been checked against table.
func Select(show *Show, table *Table, rows []Row) []Row {
	var out []Row
	for _, row := range rows {
		if matches(show.Where, table, row) {
			out = append(out, row)
		}
	}
	if show.Sort != nil {
		at, _ := table.Column(show.Sort.Column.Text)
		sort.SliceStable(out, func(i, j int) bool {
			if show.Sort.Desc {
				return compare(out[j][at], out[i][at]) < 0
			}
			return compare(out[i][at], out[j][at]) < 0
		})
	}
	if show.Limit != nil {
		n, _ := strconv.Atoi(show.Limit.Text)
		out = out[:min(n, len(out))]
	}
	return out
}

func matches(where []*Condition, table *Table, row Row) bool {
	for _, condition := range where {
		at, _ := table.Column(condition.Column.Text)
		if !holds(row[at], condition.Op.Text, condition.Value.Text) {
			return false
		}
	}
	return true
}

func holds(cell Cell, op, value string) bool {
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

// compare orders two cells of one type.
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
