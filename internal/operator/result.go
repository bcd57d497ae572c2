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
	// Text is the answer as text for an operator.
	Text string
	// Change is empty for commands that change nothing.
	Change   ident.Change
	Decision Decision
}

// rowsResult returns a result with rows, and with a table of them as text.
func rowsResult(columns []query.Column, rows []query.Row) *Result {
	header := make([]string, 0, len(columns))
	for _, column := range columns {
		header = append(header, column.Name)
	}
	return &Result{
		Columns:  columns,
		Rows:     rows,
		Text:     texttable.Format(header, FormatRows(rows)) + rowCountLine(len(rows)),
		Decision: Decision{Outcome: OutcomeNone},
	}
}

// FormatRows returns rows with each cell formatted as text.
func FormatRows(rows []query.Row) [][]string {
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

// rowCountLine returns the line below a table that gives its number of rows.
func rowCountLine(n int) string {
	if n == 1 {
		return "1 row\n"
	}
	return fmt.Sprintf("%d rows\n", n)
}
