package demo

import (
	"time"

	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/standin/chain"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// sentRequest is one request and what its caller received.
type sentRequest struct {
	kind   *kind
	input  string
	result callerclient.Result
}

// complete reports whether the caller received a complete answer, and to its own request.
func (s *sentRequest) complete() bool {
	if s.result.Outcome != callerclient.OutcomeComplete {
		return false
	}
	if s.kind.service != "" {
		return s.result.Output != ""
	}
	tokens := chain.Split(s.result.Output)
	return len(tokens) == s.kind.tokens && chain.Verify(s.input, tokens) == nil
}

// inTime reports whether the answer came before the deadline.
func (s *sentRequest) inTime() bool {
	return s.result.Finished.Sub(s.result.Started) <= s.kind.deadline
}

// summary holds the counts of the demo's last line and its table.
type summary struct {
	// Accepted counts requests that a node accepted or a stand-in started.
	Accepted int
	// Answered counts requests with a complete answer before the deadline.
	Answered int
	// Lost counts requests that were accepted, ran or may have run, but whose caller
	// received no token and no complete answer.
	Lost int
	// RanTwice counts requests that must run at most once and ran more often.
	RanTwice int
	// CutOff counts streams that began and never became complete.
	CutOff int
	// Moved counts requests that moved to another upstream or node.
	Moved int
	// Resent counts requests that were sent or resumed more than once.
	Resent int
}

// passed reports whether no request was lost, run twice or cut off.
func (sum *summary) passed() bool {
	return sum.Lost == 0 && sum.RanTwice == 0 && sum.CutOff == 0
}

// summarize counts the outcomes of requests, with the stand-ins' history to tell which ran.
func summarize(requests []*sentRequest, entries []history.Entry) summary {
	var out summary
	starts := make(map[string]int)
	for _, entry := range entries {
		if entry.Event == history.EventStart {
			starts[entry.RequestID]++
		}
	}
	for _, s := range requests {
		out.add(s, starts[s.result.ID])
	}
	return out
}

// add counts one request, which the stand-ins started the given number of times.
func (sum *summary) add(s *sentRequest, starts int) {
	ran := starts > 0
	if s.result.Accepted || ran {
		sum.Accepted++
	}
	switch {
	case s.complete():
		if s.inTime() {
			sum.Answered++
		}
	case len(s.result.Tokens) > 0:
		sum.CutOff++
	case s.result.Accepted || ran || s.result.Verdict != verdict.NotRun:
		sum.Lost++
	}
	if s.kind.nonIdempotent && starts > 1 {
		sum.RanTwice++
	}
	if s.result.Moves > 0 {
		sum.Moved++
	}
	if s.result.Attempts > 1 {
		sum.Resent++
	}
}

// latency returns the time from the request to its outcome.
func (s *sentRequest) latency() time.Duration {
	return s.result.Finished.Sub(s.result.Started)
}
