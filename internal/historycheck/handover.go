package historycheck

import (
	"fmt"
	"slices"
	"time"
)

// LeaderCall is a call that a lease holder made, as the called system received it.
type LeaderCall struct {
	At time.Time
	// Subject is what the call is about; calls about different subjects do not affect each other.
	Subject string
	// Host is the host that made the call, across restarts of its process.
	Host  string
	Fence uint64
}

// CheckHandovers checks the calls made to a system that does not compare fencing numbers. For each
// subject, the numbers must not decrease, and no host may call both before and after another one
// within ttl. It returns the first violation of each subject, sorted by subject.
func CheckHandovers(calls []LeaderCall, ttl time.Duration) []string {
	bySubject := make(map[string][]LeaderCall)
	for _, c := range calls {
		bySubject[c.Subject] = append(bySubject[c.Subject], c)
	}
	var out []string
	for subject, calls := range bySubject {
		slices.SortStableFunc(calls, func(a, b LeaderCall) int { return a.At.Compare(b.At) })
		if v := decreasedFence(calls); v != "" {
			out = append(out, subject+": "+v)
			continue
		}
		if v := alternatedHosts(calls, ttl); v != "" {
			out = append(out, subject+": "+v)
		}
	}
	slices.Sort(out)
	return out
}

// decreasedFence describes the first call with a lower fencing number than one before it.
func decreasedFence(calls []LeaderCall) string {
	for i, c := range calls {
		if i > 0 && c.Fence < calls[i-1].Fence {
			return fmt.Sprintf("%s called with fencing number %d, %v after %s with %d",
				c.Host, c.Fence, c.At.Sub(calls[i-1].At), calls[i-1].Host, calls[i-1].Fence)
		}
	}
	return ""
}

// alternatedHosts describes the first call of a host that also called before another one within
// ttl.
func alternatedHosts(calls []LeaderCall, ttl time.Duration) string {
	last := make(map[string]int)
	for i, c := range calls {
		before, known := last[c.Host]
		if known && before < i-1 && c.At.Sub(calls[before].At) < ttl {
			return fmt.Sprintf("%s called before and after %s within %v", c.Host, calls[i-1].Host, c.At.Sub(calls[before].At))
		}
		last[c.Host] = i
	}
	return ""
}
