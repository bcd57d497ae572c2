package slopes

import (
	"fmt"
	"slices"
	"time"
)

// relays measures configuration at small and large sites.
func relays(sizes []int) ([]Figure, error) {
	var out []Figure
	for _, size := range []int{slices.Min(sizes), slices.Max(sizes)} {
		figures, err := relaysAt(size, min(domains, (size+1)/2))
		out = append(out, figures...)
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

func relaysAt(size, failureDomains int) ([]Figure, error) {
	before := now(true)
	s, err := newRelaySite(size, failureDomains)
	defer s.stop()
	if err != nil {
		return nil, err
	}
	version, err := s.change(0, 0)
	if err != nil {
		return nil, err
	}
	time.Sleep(relayQuietTime)
	opened, moved := now(true), s.bytes()
	time.Sleep(relayQuietTime)
	quiet, quietBytes := now(false), s.bytes()
	s.mu.Lock()
	s.times = nil
	s.mu.Unlock()
	for n := range changeCount {
		if version, err = s.change(n+1, version); err != nil {
			return nil, err
		}
		time.Sleep(changeSpacing)
	}
	nodeSeconds := quiet.wall.Sub(opened.wall).Seconds() * float64(size)
	how := fmt.Sprintf("%d nodes in %d failure domains", size, failureDomains)
	slices.Sort(s.times)
	at := func(part int) float64 { return milliseconds(s.times[len(s.times)*part/percent]) }
	name := func(what string) string { return fmt.Sprintf("relay.%s.%d", what, size) }
	return []Figure{
		{Name: name("memory"), Value: signedDifference(opened, before) / float64(size), Unit: unitBytes, How: how + ", one node, the stand-in's share included"},
		{Name: name("quiet_bytes"), Value: 2 * float64(quietBytes-moved) / nodeSeconds, Unit: unitBytesPerSecond, How: how + ", one node's mean, sent and received, heartbeats of its connections included, without TCP headers"},
		{Name: name("quiet_cpu"), Value: (quiet.processor - opened.processor).Seconds() / nodeSeconds * percent, Unit: unitPercentOfCore, How: how + ", one node's mean, the stand-in's share included"},
		{Name: name("in_force_p50"), Value: at(50), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
		{Name: name("in_force_p99"), Value: at(99), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
		{Name: name("in_force_last"), Value: milliseconds(s.times[len(s.times)-1]), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
	}, nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
