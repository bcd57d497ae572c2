package query

import (
	"fmt"
	"strings"
)

// Error reports why a command is invalid.
type Error struct {
	// Column is the position in the command, in characters from 1.
	Column int
	// Found is the text at Column; empty at the end of the command.
	Found string
	// Expected describes what is valid at Column.
	Expected string
}

// Error returns the message in one line.
func (e *Error) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("column %d: found %s, expected %s", e.Column, found, e.Expected)
}

// Annotate returns the command and, on the next line, a caret below Column with what was
// expected.
func (e *Error) Annotate(command string) string {
	return command + "\n" + strings.Repeat(" ", max(e.Column-1, 0)) + "^ expected " + e.Expected
}

// errorAt returns an Error at the position of w.
func errorAt(w Word, expected string) *Error {
	return &Error{Column: w.Pos.Column, Found: w.Text, Expected: expected}
}

// oneOf joins names as "a, b or c".
func oneOf(names []string) string {
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}
