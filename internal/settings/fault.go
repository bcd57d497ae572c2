package settings

import (
	"fmt"
	"strings"
)

// Fault is one invalid, missing or unknown setting.
type Fault struct {
	// Path names the setting, such as "limits.maxBodyBytes" or "tokens[2].role".
	Path string
	// Value is the given value in JSON; empty when it is missing or secret.
	Value string
	// Allowed describes the allowed values, or what is wrong.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "settings"
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", path, f.Allowed)
	}
	return fmt.Sprintf("%s: got %s; %s", path, f.Value, f.Allowed)
}

// Faults are all faults of one settings file.
type Faults []Fault

// Error returns a heading and one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the settings have %d fault(s):", len(f)))
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns f as an error, or nil if there are no faults.
func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
