package demo

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"mangoledge.example/mangoledge/internal/standin/history"
)

// printTable prints one line per kind of request.
func printTable(w io.Writer, all []kind, requests []*sentRequest, entries []history.Entry) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "workspace\tkind\tsent\twhole, in time\tmoved\tresent\tp50\tslowest")
	for i := range all {
		k := &all[i]
		var own []*sentRequest
		for _, s := range requests {
			if s.kind == k {
				own = append(own, s)
			}
		}
		t := summarize(own, entries)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n",
			k.workspace, k.name, len(own), t.Answered, t.Moved, t.Resent, quantile(own, 0.5), quantile(own, 1))
	}
	_ = table.Flush()
}

// quantile returns the q-quantile of the latencies of requests, such as the median for 0.5.
func quantile(requests []*sentRequest, q float64) time.Duration {
	if len(requests) == 0 {
		return 0
	}
	var all []time.Duration
	for _, s := range requests {
		all = append(all, s.latency())
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))].Round(time.Millisecond)
}

// maxShownFailures is how many requests without a complete answer are listed at most.
const maxShownFailures = 8

// printFailures lists requests without a complete answer, and why.
func printFailures(w io.Writer, requests []*sentRequest) {
	shown := 0
	for _, s := range requests {
		if s.complete() || shown == maxShownFailures {
			continue
		}
		shown++
		_, _ = fmt.Fprintf(w, "not whole: %s %s: %s, %s, %d tokens, %d attempts: %v\n",
			s.kind.name, s.result.ID, s.result.Outcome, s.result.Verdict, len(s.result.Tokens), s.result.Attempts, s.result.Err)
	}
}
