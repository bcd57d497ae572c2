// Package texttable lays rows out in columns for a person.
package texttable

import (
	"strings"
	"unicode/utf8"
)

// gap stands between two columns.
const gap = "  "

// Format returns head and rows in columns, one line each.
func Format(head []string, rows [][]string) string {
	widths := make([]int, len(head))
	measure(widths, head)
	for _, row := range rows {
		measure(widths, row)
	}
	var out strings.Builder
	line(&out, widths, head)
	for _, row := range rows {
		line(&out, widths, row)
	}
	return out.String()
}

func measure(widths []int, row []string) {
	for i, cell := range row {
		if i < len(widths) {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
}

func line(out *strings.Builder, widths []int, row []string) {
	var text strings.Builder
	for i, cell := range row {
		if i >= len(widths) {
			break
		}
		text.WriteString(cell)
		text.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
		text.WriteString(gap)
	}
	out.WriteString(strings.TrimRight(text.String(), " "))
	out.WriteByte('\n')
}
