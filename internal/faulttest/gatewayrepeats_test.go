package faulttest

import (
	"slices"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// remainingTimeSlack is by how much more than is left a replica may be handed, and lateAfter
	// after what time a further send of a request counts as late.
	remainingTimeSlack = 500 * time.Millisecond
	lateRetryAfter     = 500 * time.Millisecond
	// maxExcessiveTimes is how many requests may be handed more time than is left.
	maxExcessiveTimes = 20
)

// retryBound is the bound of repeats in the settings of the stand-ins.
var retryBound = historycheck.RepeatBound{Window: 10 * time.Second, Share: 0.2, Reserve: 52}

// serviceOf names the service of a route in the configuration of the stand-ins.
func serviceOf(route string) string {
	if route == "/stream/" || route == "/resume/" {
		return "engine"
	}
	return "plain"
}

// arrivals returns what reached the replicas, by attempt, in the order of time.
func (s *gatewaySite) arrivals() map[string][]platformtest.Arrival {
	out := make(map[string][]platformtest.Arrival)
	for _, slot := range s.slots {
		for _, replica := range slot.allReplicas() {
			for _, arrival := range replica.Arrivals() {
				out[arrival.AttemptID] = append(out[arrival.AttemptID], arrival)
			}
		}
	}
	for _, attemptArrivals := range out {
		slices.SortFunc(attemptArrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	}
	return out
}

// checkRetries checks that no window holds more repeats of a service than its budget
// allows, and that replicas are handed no more time than is left.
func (s *gatewaySite) checkRetries(sent map[string]*gatewayAttempt) {
	s.t.Helper()
	requests, retries := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, a := range sent {
		requests[serviceOf(a.route)] = append(requests[serviceOf(a.route)], a.sentAt)
	}
	excessive, checked := 0, 0
	for id, attemptArrivals := range s.arrivals() {
		a := sent[id]
		if a == nil {
			s.t.Errorf("%s arrived, which nobody sent", id)
			continue
		}
		for i, arrival := range attemptArrivals {
			checked++
			if exceedsRemainingTime(a, attemptArrivals[0], arrival) {
				excessive++
			}
			if i > 0 {
				retries[serviceOf(a.route)] = append(retries[serviceOf(a.route)], arrival.At)
			}
		}
	}
	if excessive > maxExcessiveTimes && excessive > checked/5 {
		s.t.Errorf("%d of %d arrivals were handed more time than was left", excessive, checked)
	}
	for service := range retries {
		s.checkRetryWindows(service, requests[service], retries[service])
	}
}

// exceedsRemainingTime reports whether an arrival was handed more time than the caller, or the first
// arrival of the request, had left.
func exceedsRemainingTime(a *gatewayAttempt, first, arrival platformtest.Arrival) bool {
	end, ok := deadlineOf(arrival)
	if !ok || end.Sub(arrival.At) > soakDeadline+remainingTimeSlack {
		return true
	}
	firstEnd, _ := deadlineOf(first)
	bound := a.sentAt.Add(soakDeadline)
	if firstEnd.After(bound) {
		bound = firstEnd
	}
	return arrival.At.Sub(first.At) > lateRetryAfter && end.After(bound.Add(remainingTimeSlack))
}

// deadlineOf returns until when a replica may work on an arrival.
func deadlineOf(arrival platformtest.Arrival) (time.Time, bool) {
	ms, err := strconv.Atoi(arrival.TimeLeftMs)
	return arrival.At.Add(time.Duration(ms) * time.Millisecond), err == nil
}

// checkRetryWindows checks every window that begins with a repeat.
func (s *gatewaySite) checkRetryWindows(service string, requests, retries []time.Time) {
	s.t.Helper()
	held, allowed := retryBound.Nearest(requests, retries)
	if held > allowed {
		s.t.Errorf("a window holds %.0f repeats of %s, %.0f allowed", held, service, allowed)
	}
	s.t.Logf("the window of %s nearest to its bound holds %.0f repeats of %.0f", service, held, allowed)
}
