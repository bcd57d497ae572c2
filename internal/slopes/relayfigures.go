package slopes

import (
	"fmt"
	"slices"
	"time"
)

// measureRelays measures the distribution of configuration at the smallest and the largest
// of the sizes.
func measureRelays(sizes []int) ([]Figure, error) {
	var out []Figure
	for _, size := range []int{slices.Min(sizes), slices.Max(sizes)} {
		figures, err := measureRelay(size, min(domains, (size+1)/2))
		out = append(out, figures...)
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// measureRelay measures a site of size nodes in the given number of failure domains.
func measureRelay(size, failureDomains int) ([]Figure, error) {
	before := readUsage(true)
	s, err := newRelaySite(size, failureDomains)
	defer s.stop()
	if err != nil {
		return nil, err
	}
	version, err := s.makeChange(0, 0)
	if err != nil {
		return nil, err
	}
	time.Sleep(relayQuietTime)
	opened, bytesBefore := readUsage(true), s.bytesMoved()
	time.Sleep(relayQuietTime)
	ended, bytesAfter := readUsage(false), s.bytesMoved()
	s.mu.Lock()
	s.inForceTimes = nil
	s.mu.Unlock()
	for n := range changeCount {
		if version, err = s.makeChange(n+1, version); err != nil {
			return nil, err
		}
		time.Sleep(changeSpacing)
	}
	nodeSeconds := ended.wall.Sub(opened.wall).Seconds() * float64(size)
	how := fmt.Sprintf("%d nodes in %d failure domains", size, failureDomains)
	slices.Sort(s.inForceTimes)
	at := func(part int) float64 { return milliseconds(s.inForceTimes[len(s.inForceTimes)*part/percent]) }
	name := func(what string) string { return fmt.Sprintf("relay.%s.%d", what, size) }
	return []Figure{
		{Name: name("memory"), Value: memoryGrowth(opened, before) / float64(size), Unit: unitBytes, How: how + ", one node, the stand-in's share included"},
		{Name: name("quiet_bytes"), Value: 2 * float64(bytesAfter-bytesBefore) / nodeSeconds, Unit: unitBytesPerSecond, How: how + ", one node's mean, sent and received, heartbeats of its connections included, without TCP headers"},
		{Name: name("quiet_cpu"), Value: (ended.processor - opened.processor).Seconds() / nodeSeconds * percent, Unit: unitPercentOfCore, How: how + ", one node's mean, the stand-in's share included"},
		{Name: name("in_force_p50"), Value: at(50), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
		{Name: name("in_force_p99"), Value: at(99), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
		{Name: name("in_force_last"), Value: milliseconds(s.inForceTimes[len(s.inForceTimes)-1]), Unit: unitMilliseconds, How: fmt.Sprintf("%s, %d changes, from acceptance", how, changeCount)},
	}, nil
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
