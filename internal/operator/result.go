package operator

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/texttable"
)

// Result is the answer to a command.
type Result struct {
	Columns []query.Column
	Rows    []query.Row
	// Text is the answer for a person.
	Text string
	// Change is empty for commands that change nothing.
	Change   ident.Change
	Decision Decision
}

func resultOf(columns []query.Column, rows []query.Row) *Result {
	head := make([]string, 0, len(columns))
	for _, column := range columns {
		head = append(head, column.Name)
	}
	return &Result{
		Columns:  columns,
		Rows:     rows,
		Text:     texttable.Format(head, TextOf(rows)) + rowCount(len(rows)),
		Decision: Decision{Outcome: OutcomeNone},
	}
}

// TextOf returns the cells of rows as text.
func TextOf(rows []query.Row) [][]string {
	out := make([][]string, 0, len(rows))
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, cell.String())
		}
		out = append(out, cells)
	}
	return out
}

func rowCount(n int) string {
	if n == 1 {
		return "1 row\n"
	}
	return fmt.Sprintf("%d rows\n", n)
}
