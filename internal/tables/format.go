package tables

import (
	"strings"
	"time"
)

// rowsOf converts each item to a row.
func rowsOf[In, Out any](in []In, row func(In) Out) []Out {
	out := make([]Out, 0, len(in))
	for _, item := range in {
		out = append(out, row(item))
	}
	return out
}

// joinCommas joins names with commas.
func joinCommas[S ~string](names []S) string {
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, string(name))
	}
	return strings.Join(parts, ",")
}

// formatUTC formats a time as RFC 3339 in UTC, and the zero time as "".
func formatUTC(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
