package cli

import (
	"encoding/json"
	"fmt"
)

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) json() bool {
	return a.output == outputJSON
}

// printJSON writes value, indented.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// say writes a line for a person beside the output proper.
func (a *app) say(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, format+"\n", args...)
}
