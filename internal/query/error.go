package query

import (
	"fmt"
	"strings"
)

// Error is a command that can't be understood.
type Error struct {
	// Column is the place in the command, counted from 1 in characters.
	Column int
	// Found is what stands there; empty at the end of the command.
	Found string
	// Expected says what may stand there.
	Expected string
}

// Error returns the error in one line.
func (e *Error) Error() string {
	found := "the end"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("column %d: found %s, expected %s", e.Column, found, e.Expected)
}

// Point returns the command with a mark below the place of the error.
func (e *Error) Point(command string) string {
	return command + "\n" + strings.Repeat(" ", max(e.Column-1, 0)) + "^ expected " + e.Expected
}

func wrong(w Word, expected string) *Error {
	return &Error{Column: w.Pos.Column, Found: w.Text, Expected: expected}
}

// oneOf writes names as "a, b or c".
func oneOf(names []string) string {
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}
