package slopes

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// loadedMembers is the size of the site that is measured under load.
	loadedMembers = 100
	// DefaultLoadTime is how long the site is under load by default.
	DefaultLoadTime = 10 * time.Second
)

// measureUnderLoad counts false deaths, suspicions and pauses of members while every core
// of the machine also runs a busy loop.
func measureUnderLoad(loadTime time.Duration) ([]Figure, error) {
	s, err := newSite(loadedMembers)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(settleTime)
	before := s.totalStats()
	stopLoad := startLoad(runtime.NumCPU())
	time.Sleep(loadTime)
	stopLoad()
	after := s.totalStats()
	hours := loadTime.Hours() * loadedMembers
	how := fmt.Sprintf("%d members for %v with %d busy loops in the same process: %.2f member-hours, extrapolated",
		loadedMembers, loadTime, runtime.NumCPU(), hours)
	// All members can learn of the same false death, so the sum of their counts is divided;
	// one that only some learn of counts in part.
	deaths := float64(after.Deaths-before.Deaths) / loadedMembers
	return []Figure{
		{Name: "membership.load_deaths", Value: deaths / hours, Unit: unitCountPerHour, How: how},
		{Name: "membership.load_suspicions", Value: float64(after.Suspicions-before.Suspicions) / loadedMembers / hours, Unit: unitCountPerHour, How: how},
		{Name: "membership.load_pauses", Value: float64(after.Pauses-before.Pauses) / hours, Unit: unitCountPerHour, How: how},
	}, nil
}

// startLoad runs count busy loops until the returned function is called.
func startLoad(count int) func() {
	var stop atomic.Bool
	var running sync.WaitGroup
	for range count {
		running.Go(func() {
			for x := uint64(1); !stop.Load(); x++ {
				x ^= x << 13
			}
		})
	}
	return func() {
		stop.Store(true)
		running.Wait()
	}
}
