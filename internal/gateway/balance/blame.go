package balance

// requestFaultWeight is the smoothing weight of one repeated request in requestFaults.
const requestFaultWeight = 0.1

// requestFaults is the smoothed fraction of a service's failed requests that failed again at another
// upstream, so that the failure belongs to the request. It starts at 0: failures are the upstream's.
type requestFaults struct{ fraction float64 }

// record records whether a repeat of a failed request failed too.
func (f *requestFaults) record(again bool) {
	sample := 0.0
	if again {
		sample = 1
	}
	f.fraction += requestFaultWeight * (sample - f.fraction)
}

// failures tells failures of requests from failures of upstreams, by service.
type failures map[string]*requestFaults

func (f failures) of(service string) *requestFaults {
	if f[service] == nil {
		f[service] = &requestFaults{}
	}
	return f[service]
}

// recordRepeat learns from a repeat that was answered or failed at another upstream than the
// request before. If it failed too, neither upstream is to blame.
func (b *Balancer) recordRepeat(t *Ticket, outcome Outcome) {
	if len(t.failedBefore) == 0 || (outcome != Answered && outcome != Failed) {
		return
	}
	b.failures.of(t.Upstream.Service).record(outcome == Failed)
	if outcome != Failed {
		return
	}
	for _, s := range t.failedBefore {
		s.failureRate = max(0, s.failureRate-s.lastBlame)
		s.lastBlame = 0
	}
}

// failureWeight returns the weight of the failure of a ticket's request in the upstream's record.
func (b *Balancer) failureWeight(t *Ticket) float64 {
	if len(t.failedBefore) > 0 {
		return 0 // it failed elsewhere as well
	}
	return failureWeight * (1 - b.failures.of(t.Upstream.Service).fraction)
}

// failedStates returns the states of the upstreams at which the request failed before.
func (b *Balancer) failedStates(attempt string, tried map[string]bool) []*upstreamState {
	var out []*upstreamState
	for id := range tried {
		if s := b.states[id]; s != nil && attempt != "" && s.lastFailed == attempt {
			out = append(out, s)
		}
	}
	return out
}
