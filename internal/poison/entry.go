package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// MaxCrashes is how many upstreams one content may crash in all before it is refused.
	MaxCrashes = 3
	// keptCrashes bounds the crashes kept of one content.
	keptCrashes = 16
	// crashGrain is the time within which crashes of one upstream count as one.
	crashGrain = 10 * time.Second
	// firstSentence is for how long a content is refused after its third crash, and
	// maxDoublings how often that doubles with further ones: up to a day.
	firstSentence = 45 * time.Minute
	maxDoublings  = 5
)

// Crash is one crash of an upstream under a content. Its JSON is part of gossip.
type Crash struct {
	// ID is a hash of the upstream and the time of the crash.
	ID uint64 `json:"id"`
	// At is the beginning of the grain of time in which it crashed, in seconds since
	// 1970; it follows from what ID names, so all nodes clear the same crashes.
	At int64 `json:"at"`
	// Absolved is true when the upstream turned out to have died of something else.
	Absolved bool `json:"absolved,omitempty"`
}

// newCrash returns the crash of upstream at now.
func newCrash(now time.Time, upstream ident.Upstream) Crash {
	at := now.Truncate(crashGrain).Unix()
	return Crash{ID: xxhash.Sum64String(string(upstream)) ^ uint64(at)*0x9e3779b97f4a7c15, At: at}
}

// Entry is what is known of one content.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes are ordered by time, the newest first.
	Crashes []Crash `json:"crashes,omitempty"`
	// ClearedAt makes crashes up to then count no more; in seconds since 1970.
	ClearedAt int64 `json:"clearedAt,omitempty"`
}

// Count returns how many crashes count against the content.
func (e *Entry) Count() int {
	n := 0
	for _, c := range e.Crashes {
		if !c.Absolved {
			n++
		}
	}
	return n
}

// Convicted reports whether the content is refused.
func (e *Entry) Convicted() bool {
	return e.Count() >= MaxCrashes
}

// newest returns the time of the last thing known of the content, in seconds.
func (e *Entry) newest() int64 {
	newest := e.ClearedAt
	for _, c := range e.Crashes {
		newest = max(newest, c.At)
	}
	return newest
}

// merge adds what other knows.
func (e *Entry) merge(other *Entry) {
	e.ClearedAt = max(e.ClearedAt, other.ClearedAt)
	for _, c := range other.Crashes {
		e.add(c)
	}
	e.trim()
}

func (e *Entry) add(c Crash) {
	for i := range e.Crashes {
		if e.Crashes[i].ID == c.ID {
			e.Crashes[i].Absolved = e.Crashes[i].Absolved || c.Absolved
			return
		}
	}
	e.Crashes = append(e.Crashes, c)
}

// has reports whether a crash is known.
func (e *Entry) has(id uint64) bool {
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.ID == id })
}

// absolveOldest takes back the oldest crash that counts.
func (e *Entry) absolveOldest() {
	for i := len(e.Crashes) - 1; i >= 0; i-- {
		if !e.Crashes[i].Absolved {
			e.Crashes[i].Absolved = true
			return
		}
	}
}

// sentence returns for how long a convicted content is refused after its newest crash.
func (e *Entry) sentence() time.Duration {
	return firstSentence << min(max(0, len(e.Crashes)-MaxCrashes), maxDoublings)
}

// trim drops cleared crashes and keeps the newest.
func (e *Entry) trim() {
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return c.At <= e.ClearedAt })
	slices.SortFunc(e.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.ID, b.ID))
	})
	if len(e.Crashes) > keptCrashes {
		e.Crashes = e.Crashes[:keptCrashes]
	}
	if len(e.Crashes) == 0 {
		e.Crashes = nil
	}
}
