package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"text/tabwriter"
)

// Report holds the figures of one run and the machine that it ran on.
type Report struct {
	Cores   int      `json:"cores"`
	Go      string   `json:"go"`
	Figures []Figure `json:"figures"`
}

// newReport returns an empty report for this machine.
func newReport() *Report {
	return &Report{Cores: runtime.NumCPU(), Go: runtime.Version()}
}

// WriteFile writes the report as JSON to path.
func (r *Report) WriteFile(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644) //nolint:gosec // a published report
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FIGURE\tVALUE\tUNIT\tHOW")
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\n", f.Name, f.Value, f.Unit, f.How)
	}
	return table.Flush()
}
