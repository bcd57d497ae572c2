package cli

import (
	"encoding/json"
	"fmt"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// jsonOutput reports whether the output format is JSON.
func (a *app) jsonOutput() bool {
	return a.output == outputJSON
}

// printJSON writes value as indented JSON to standard output.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printStatus writes a formatted line to standard error, apart from the command's output.
func (a *app) printStatus(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, format+"\n", args...)
}
