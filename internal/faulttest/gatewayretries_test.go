package faulttest

import (
	"slices"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// remainingTimeSlack is by how much the time that a replica is given may exceed the time
	// remaining. A retry later than lateRetryDelay after the first arrival counts as late.
	remainingTimeSlack = 500 * time.Millisecond
	lateRetryDelay     = 500 * time.Millisecond
	// maxExcessiveTimes is how many requests may be given more than the remaining time, even if
	// they are more than a fifth of all.
	maxExcessiveTimes = 20
)

// retryBound is the bound on retries in the settings of package platformtest.
var retryBound = historycheck.RetryBound{Window: 10 * time.Second, Share: 0.2, Reserve: 52}

// serviceOf returns the service of a route in the configuration of package platformtest.
func serviceOf(route string) string {
	if route == "/stream/" || route == "/resume/" {
		return "engine"
	}
	return "plain"
}

// arrivals returns the requests that reached replicas, by attempt ID, in order of time.
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

// checkRetries checks that no window contains more retries of a service than its retry budget
// allows, and that replicas are given no more than the remaining time.
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
			s.t.Errorf("%s arrived at a replica, but no caller sent it", id)
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
		s.t.Errorf("%d of %d arrivals were given more than the remaining time", excessive, checked)
	}
	for service := range retries {
		s.checkRetryWindows(service, requests[service], retries[service])
	}
}

// exceedsRemainingTime reports whether an arrival was given more time than soakDeadline or, if it
// is a late retry, more than remained to the caller or to the first arrival of the request.
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
	return arrival.At.Sub(first.At) > lateRetryDelay && end.After(bound.Add(remainingTimeSlack))
}

// deadlineOf returns until when a replica may work on an arrival, or false if that is not stated.
func deadlineOf(arrival platformtest.Arrival) (time.Time, bool) {
	ms, err := strconv.Atoi(arrival.TimeLeftMs)
	return arrival.At.Add(time.Duration(ms) * time.Millisecond), err == nil
}

// checkRetryWindows checks that no window contains more retries of a service than allowed.
func (s *gatewaySite) checkRetryWindows(service string, requests, retries []time.Time) {
	s.t.Helper()
	retryCount, allowed := retryBound.FullestWindow(requests, retries)
	if retryCount > allowed {
		s.t.Errorf("a window contains %.0f retries of %s, %.0f allowed", retryCount, service, allowed)
	}
	s.t.Logf("the window of %s nearest to its bound contains %.0f retries of %.0f allowed", service, retryCount, allowed)
}
