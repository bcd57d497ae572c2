package rollout

import "math"

const (
	// minFailures is the least number of failures that convicts a version.
	minFailures = 5
	// minFailureExcess and minSlowExcess are by how much more of its requests the new version must
	// fail, or answer slowly.
	minFailureExcess = 0.03
	minSlowExcess    = 0.08
	// minSlow is the least number of slow answers that convicts a version.
	minSlow = 8
	// minOldAnswers is the least number of answers of the old version to compare latencies with.
	minOldAnswers = 20
	// significance is how many standard deviations the difference of two shares must have. Many
	// comparisons are made in one order, and none of a sound version may convict it.
	significance = 5
)

// Reason is why a version was found bad; empty if it was not.
type Reason string

const (
	// Fails means that the new version fails more requests than the old one.
	Fails Reason = "fails"
	// FailsRoute means the same on a group of routes.
	FailsRoute Reason = "fails_on_route"
	// Slow means that the new version answers a group of routes more slowly.
	Slow Reason = "slow"
)

// compareFailures compares what failed of both versions.
func compareFailures(e *Evidence) Reason {
	for i := range e {
		if failsMore(&e[i]) {
			return FailsRoute
		}
	}
	if all := e.total(); failsMore(&all) {
		return Fails
	}
	return ""
}

func failsMore(p *Pair) bool {
	return p.New.Failures >= minFailures &&
		exceeds(p.New.Failures, p.New.Answers, p.Old.Failures, p.Old.Answers, minFailureExcess)
}

// compareLatencies compares latencies route group by route group: what is usual differs by route.
func compareLatencies(e *Evidence) Reason {
	for i := range e {
		if isSlower(&e[i]) {
			return Slow
		}
	}
	return ""
}

// isSlower reports whether more answers of the new version take twice some time than answers of the
// old version take that time: it is slower by more than a factor of two, for a part of its requests.
func isSlower(p *Pair) bool {
	oldAnswers, newAnswers := p.Old.atLeast(0), p.New.atLeast(0)
	if oldAnswers < minOldAnswers {
		return false
	}
	for bucket := 1; bucket < latencyBuckets-1; bucket++ {
		slow := p.New.atLeast(bucket + 1)
		if slow >= minSlow && exceeds(slow, newAnswers, p.Old.atLeast(bucket), oldAnswers, minSlowExcess) {
			return true
		}
	}
	return false
}

// exceeds reports whether the share a of n exceeds the share b of m by at least margin, and by more
// than chance explains.
func exceeds(a, n, b, m uint32, margin float64) bool {
	if n == 0 {
		return false
	}
	first, second := share(a, n), share(b, m)
	// One success more on either side keeps the deviation of few answers from being none.
	pooled := (float64(a) + float64(b) + 1) / (float64(n) + float64(m) + 2)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/float64(n) + 1/float64(max(m, 1))))
	return first-second > max(margin, significance*deviation)
}

func share(part, all uint32) float64 { return float64(part) / float64(max(all, 1)) }
