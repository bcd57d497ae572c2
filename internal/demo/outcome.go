package demo

import (
	"time"

	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/standin/chain"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// sent is one request with what its caller received.
type sent struct {
	kind   *kind
	input  string
	result callerclient.Result
}

// whole reports whether the caller has the whole answer to its own request.
func (s *sent) whole() bool {
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
func (s *sent) inTime() bool {
	return s.result.Finished.Sub(s.result.Started) <= s.kind.deadline
}

// tally is what the demo's last line counts.
type tally struct {
	Accepted int
	Answered int
	// Lost were accepted and have neither a whole answer nor a final verdict.
	Lost int
	// Twice are requests that must run at most once and ran more often.
	Twice int
	// CutOff are streams that began and never became whole.
	CutOff int
	// Moved changed their upstream or node.
	Moved int
	// Resent were sent or resumed more than once.
	Resent int
}

// good reports whether nothing was lost, run twice or cut off.
func (t *tally) good() bool {
	return t.Lost == 0 && t.Twice == 0 && t.CutOff == 0
}

// count tallies requests against the stand-ins' history.
func count(requests []*sent, entries []history.Entry) tally {
	var out tally
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

func (t *tally) add(s *sent, starts int) {
	ran := starts > 0
	if s.result.Accepted || ran {
		t.Accepted++
	}
	switch {
	case s.whole():
		if s.inTime() {
			t.Answered++
		}
	case len(s.result.Tokens) > 0:
		t.CutOff++
	case s.result.Accepted || ran || s.result.Verdict != verdict.NotRun:
		t.Lost++
	}
	if s.kind.once && starts > 1 {
		t.Twice++
	}
	if s.result.Moves > 0 {
		t.Moved++
	}
	if s.result.Attempts > 1 {
		t.Resent++
	}
}

// latency is how long an answer took.
func (s *sent) latency() time.Duration {
	return s.result.Finished.Sub(s.result.Started)
}
