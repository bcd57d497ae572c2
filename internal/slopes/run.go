package slopes

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Options say what is measured.
type Options struct {
	// Sizes are the numbers of members to measure.
	Sizes []int
	// Only names the parts to measure; empty for all.
	Only []string
	// LoadTime is how long members run beside busy loops.
	LoadTime time.Duration
	// Progress takes one line a part.
	Progress io.Writer
}

// part is one part of the measurement.
type part struct {
	name    string
	measure func() ([]Figure, error)
}

// Run measures and returns the report of what could be measured, with the first error.
func Run(options Options) (*Report, error) {
	parts := []part{
		{"witness", grants},
		{"peer", peerCalls},
		{"owner", owners},
		{"observe", observers},
		{"lists", lists},
		{"reconciler", reconcilers},
		{"entry", entries},
		{"node", wholeNodes},
		{"membership", func() ([]Figure, error) { return memberships(options.Sizes) }},
		{"load", func() ([]Figure, error) { return underLoad(options.LoadTime) }},
		{"relay", func() ([]Figure, error) { return relays(options.Sizes) }},
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
