package slopes

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Options select what is measured.
type Options struct {
	// Sizes are the numbers of members to measure sites of.
	Sizes []int
	// Only names the parts to measure; if empty, all are measured.
	Only []string
	// LoadTime is how long members run beside busy loops.
	LoadTime time.Duration
	// Progress receives one line per measured part.
	Progress io.Writer
}

// part is one named part of the measurement.
type part struct {
	name    string
	measure func() ([]Figure, error)
}

// Run measures the selected parts and returns the figures that could be measured. A part
// that fails does not stop the others; the errors are combined.
func Run(options Options) (*Report, error) {
	parts := []part{
		{"witness", measureGrantTable},
		{"peer", measurePeerCalls},
		{"owner", measureOwner},
		{"observe", measureObserver},
		{"lists", measureLists},
		{"reconciler", measureReconcilers},
		{"entry", measureEntry},
		{"node", measureNodes},
		{"membership", func() ([]Figure, error) { return measureMemberships(options.Sizes) }},
		{"load", func() ([]Figure, error) { return measureUnderLoad(options.LoadTime) }},
		{"relay", func() ([]Figure, error) { return measureRelays(options.Sizes) }},
	}
	report := newReport()
	var failure error
	for _, p := range parts {
		if len(options.Only) > 0 && !slices.Contains(options.Only, p.name) {
			continue
		}
		figures, err := p.measure()
		report.Figures = append(report.Figures, figures...)
		failure = errors.CombineErrors(failure, errors.Wrap(err, p.name))
		_, _ = fmt.Fprintf(options.Progress, "measured %s: %d figures\n", p.name, len(figures))
	}
	return report, failure
}
