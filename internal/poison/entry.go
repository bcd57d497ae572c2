package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// MaxCrashes is how many crashes of upstreams lead to the quarantine of the content that
	// caused them.
	MaxCrashes = 3
	// maxKeptCrashes limits the number of crashes stored per content.
	maxKeptCrashes = 16
	// crashWindow is the time within which crashes of one upstream count as one.
	crashWindow = 10 * time.Second
	// baseQuarantine is how long content is quarantined after MaxCrashes crashes. Each
	// further crash doubles the time, at most maxQuarantineDoublings times: up to a day.
	baseQuarantine         = 45 * time.Minute
	maxQuarantineDoublings = 5
)

// Crash is one crash of an upstream while it ran some content. It is encoded as JSON and
// as msgpack in gossip.
type Crash struct {
	// ID is a hash of the upstream and the time of the crash.
	ID uint64 `json:"id"`
	// At is the start of the crashWindow in which the upstream crashed, in seconds since
	// 1970. It depends only on what ID identifies, so all nodes clear the same crashes.
	At int64 `json:"at"`
	// Absolved is true when the crash was dismissed and no longer counts against the content.
	Absolved bool `json:"absolved,omitempty"`
}

// newCrash returns the crash of upstream at time now.
func newCrash(now time.Time, upstream ident.Upstream) Crash {
	at := now.Truncate(crashWindow).Unix()
	return Crash{ID: xxhash.Sum64String(string(upstream)) ^ uint64(at)*0x9e3779b97f4a7c15, At: at}
}

// Entry is the state of one content in a Registry.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes are ordered by time, the newest first.
	Crashes []Crash `json:"crashes,omitempty"`
	// ClearedAt is the time up to which crashes no longer count, in seconds since 1970.
	ClearedAt int64 `json:"clearedAt,omitempty"`
}

// Count returns the number of crashes that count against the content.
func (e *Entry) Count() int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Absolved {
			n++
		}
	}
	return n
}

// Quarantined reports whether the content is quarantined, so that it is refused.
func (e *Entry) Quarantined() bool {
	return e.Count() >= MaxCrashes
}

// lastEvent returns the time of the latest crash or clearing, in seconds since 1970.
func (e *Entry) lastEvent() int64 {
	last := e.ClearedAt
	for _, c := range e.Crashes {
		last = max(last, c.At)
	}
	return last
}

// merge adds the crashes and the clearing time of other.
func (e *Entry) merge(other *Entry) {
	e.ClearedAt = max(e.ClearedAt, other.ClearedAt)
	for _, c := range other.Crashes {
		e.add(c)
	}
	e.trim()
}

// add adds a crash. If it is known, it is dismissed when either of the two is.
func (e *Entry) add(c Crash) {
	for i := range e.Crashes {
		if e.Crashes[i].ID == c.ID {
			e.Crashes[i].Absolved = e.Crashes[i].Absolved || c.Absolved
			return
		}
	}
	e.Crashes = append(e.Crashes, c)
}

// hasCrash reports whether the entry has a crash with the given ID.
func (e *Entry) hasCrash(id uint64) bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.ID == id })
}

// dismissOldest dismisses the oldest crash that counts.
func (e *Entry) dismissOldest() {
	for i := len(e.Crashes) - 1; i >= 0; i-- {
		if !e.Crashes[i].Absolved {
			e.Crashes[i].Absolved = true
			return
		}
	}
}

// quarantineTime returns how long the content stays quarantined after its latest crash.
func (e *Entry) quarantineTime() time.Duration {
	return baseQuarantine << min(max(0, len(e.Crashes)-MaxCrashes), maxQuarantineDoublings)
}

// trim drops cleared crashes and keeps the newest ones.
func (e *Entry) trim() {
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return c.At <= e.ClearedAt })
	slices.SortFunc(e.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID))
	})
	if len(e.Crashes) > maxKeptCrashes {
		e.Crashes = e.Crashes[:maxKeptCrashes]
	}
	if len(e.Crashes) == 0 {
		e.Crashes = nil
	}
}
