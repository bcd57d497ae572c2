package site

import (
	"net/netip"
	"time"
)

// Upstream is one replica of a service as it registered itself.
type Upstream struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining upstreams finish their requests and take no new ones.
	Draining bool
	// Reclaimable upstreams may be reclaimed by the platform at short notice.
	Reclaimable bool
	// LeavesIn is how long a draining upstream stays, if it says so; 0 otherwise.
	LeavesIn time.Duration
	// Reports counts what the upstream has reported since it started; 0 if unknown.
	Reports int64
	// StartedAt is the start time of this incarnation; zero if unknown.
	StartedAt time.Time
	// Version is the version of the upstream's software; empty if unknown.
	Version string
	// ColdFor is how much longer the upstream stays slow after its start, as it last said.
	ColdFor time.Duration
}

// SameStart reports whether two entries with the same ID belong to the same start of an upstream. An
// entry without a start time proves no other start: it is told by its address alone.
func (u Upstream) SameStart(other Upstream) bool {
	if u.StartedAt.IsZero() || other.StartedAt.IsZero() {
		return u.Address == other.Address
	}
	return u.StartedAt.Equal(other.StartedAt)
}
