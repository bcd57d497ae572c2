package tables

import (
	"strings"
	"time"
)

// rowsOf makes one row of each item.
func rowsOf[In, Out any](in []In, row func(In) Out) []Out {
	out := make([]Out, 0, len(in))
	for _, one := range in {
		out = append(out, row(one))
	}
	return out
}

// commas joins names with commas.
func commas[S ~string](names []S) string {
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, string(name))
	}
	return strings.Join(parts, ",")
}

// utc writes a time as RFC 3339 in UTC, and the zero time as "".
func utc(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
