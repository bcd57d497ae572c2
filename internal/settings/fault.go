package settings

import (
	"fmt"
	"strings"
)

// Fault is one fault in the settings.
type Fault struct {
	// Path names the setting, such as "limits.maxBodyBytes" or "tokens[2].role".
	Path string
	// Value is what the settings say, in JSON; empty when it is missing or secret.
	Value string
	// Allowed says what is allowed there.
	Allowed string
}

// String returns the fault in one line.
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

// Faults are all faults of one file of settings.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the settings have %d fault(s):", len(f)))
	for _, fault := range f {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns f as an error, or nil when there is no fault.
func (f Faults) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
