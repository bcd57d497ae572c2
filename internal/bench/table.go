package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteTable writes one line for each shape, scenario and system, with the results of all
// seeds combined.
func WriteTable(out io.Writer, results []*Result) error {
	g := groupResults(results)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	last := groupKey{}
	for _, key := range g.order {
		if key.shape != last.shape || key.scenario != last.scenario {
			_, _ = fmt.Fprintf(table, "\n%s %s\tgoodput\tttft95 ms\tgap95 ms\tcost/answer\trecomputed\tnot run\twithdrawn\trefusal95 ms\tlate\tfailed\tretries\tfair\tcrashes\tfalse\tlate work\tstay/kv/prefill/resume\t\n", key.shape, key.scenario)
		}
		last = key
		writeRow(table, g.byKey[key])
	}
	return errors.Wrap(table.Flush(), "table")
}

// writeRow writes the line of a group.
func writeRow(table io.Writer, r *group) {
	_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.0f\t%.1f\t%.5f\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.3f\t%.2f\t%d\t%d\t%d\t%d/%d/%d/%d\t\n",
		r.System, r.Goodput, r.FirstTokenP95, r.BetweenTokensP95, r.CostPerWorth, r.Recomputed,
		r.Refused, r.Withdrawn, r.RefusalP95, r.Late, r.Failed, r.RetryShare, r.LeastFairShare, r.Crashes, r.FalseConvictions,
		r.LateSends, r.Stays, r.Transfers, r.Prefills, r.Resumes)
}

// WriteJSONLines writes each result as a line of JSON.
func WriteJSONLines(out io.Writer, results []*Result) error {
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "JSON lines")
		}
	}
	return nil
}
