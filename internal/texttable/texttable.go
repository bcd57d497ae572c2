// Package texttable formats rows as a table of aligned columns.
package texttable

import (
	"strings"
	"unicode/utf8"
)

// columnGap separates two columns.
const columnGap = "  "

// Format returns head and rows as aligned columns, one line each. Cells beyond the columns of head are
// left out.
func Format(head []string, rows [][]string) string {
	widths := make([]int, len(head))
	widen(widths, head)
	for _, row := range rows {
		widen(widths, row)
	}
	var out strings.Builder
	writeRow(&out, widths, head)
	for _, row := range rows {
		writeRow(&out, widths, row)
	}
	return out.String()
}

// widen raises each column's width to that of its cell in row, in characters.
func widen(widths []int, row []string) {
	for i, cell := range row {
		if i < len(widths) {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
}

// writeRow writes one line, each cell padded to its column's width and without trailing spaces.
func writeRow(out *strings.Builder, widths []int, row []string) {
	var text strings.Builder
	for i, cell := range row {
		if i >= len(widths) {
			break
		}
		text.WriteString(cell)
		text.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
		text.WriteString(columnGap)
	}
	out.WriteString(strings.TrimRight(text.String(), " "))
	out.WriteByte('\n')
}
