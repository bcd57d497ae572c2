package faulttest

import (
	"slices"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// leftSlack is by how much more than is left a replica may be handed, and lateAfter
	// after what time a further send of a request counts as late.
	leftSlack = 500 * time.Millisecond
	lateAfter = 500 * time.Millisecond
	// mostOverLeft is how many requests may be handed more time than is left.
	mostOverLeft = 20
)

// repeatBound is the bound of repeats in the settings of the stand-ins.
var repeatBound = historycheck.RepeatBound{Window: 10 * time.Second, Share: 0.2, Reserve: 52}

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
		for _, replica := range slot.allStarts() {
			for _, arrival := range replica.Arrivals() {
				out[arrival.AttemptID] = append(out[arrival.AttemptID], arrival)
			}
		}
	}
	for _, of := range out {
		slices.SortFunc(of, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	}
	return out
}

// checkRepeats checks that no window holds more repeats of a service than its budget
// allows, and that replicas are handed no more time than is left.
func (s *gatewaySite) checkRepeats(sent map[string]*gatewayAttempt) {
	s.t.Helper()
	first, repeats := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, a := range sent {
		first[serviceOf(a.route)] = append(first[serviceOf(a.route)], a.sent)
	}
	over, judged := 0, 0
	for id, of := range s.arrivals() {
		a := sent[id]
		if a == nil {
			s.t.Errorf("%s arrived, which nobody sent", id)
			continue
		}
		for i, arrival := range of {
			judged++
			if overLeft(a, of[0], arrival) {
				over++
			}
			if i > 0 {
				repeats[serviceOf(a.route)] = append(repeats[serviceOf(a.route)], arrival.At)
			}
		}
	}
	if over > mostOverLeft && over > judged/5 {
		s.t.Errorf("%d of %d arrivals were handed more time than was left", over, judged)
	}
	for service := range repeats {
		s.checkWindows(service, first[service], repeats[service])
	}
}

// overLeft reports whether an arrival was handed more time than the caller, or the first
// arrival of the request, had left.
func overLeft(a *gatewayAttempt, first, arrival platformtest.Arrival) bool {
	end, ok := endOf(arrival)
	if !ok || end.Sub(arrival.At) > soakDeadline+leftSlack {
		return true
	}
	firstEnd, _ := endOf(first)
	bound := a.sent.Add(soakDeadline)
	if firstEnd.After(bound) {
		bound = firstEnd
	}
	return arrival.At.Sub(first.At) > lateAfter && end.After(bound.Add(leftSlack))
}

// endOf returns until when a replica may work on an arrival.
func endOf(arrival platformtest.Arrival) (time.Time, bool) {
	ms, err := strconv.Atoi(arrival.TimeLeftMs)
	return arrival.At.Add(time.Duration(ms) * time.Millisecond), err == nil
}

// checkWindows checks every window that begins with a repeat.
func (s *gatewaySite) checkWindows(service string, first, repeats []time.Time) {
	s.t.Helper()
	held, allowed := repeatBound.Nearest(first, repeats)
	if held > allowed {
		s.t.Errorf("a window holds %.0f repeats of %s, %.0f allowed", held, service, allowed)
	}
	s.t.Logf("the window of %s nearest to its bound holds %.0f repeats of %.0f", service, held, allowed)
}
