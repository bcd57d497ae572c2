package poison

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// retention is how long content is remembered after its latest crash or clearing.
	retention = 24 * time.Hour
	// maxEntries limits the number of entries.
	maxEntries = 4096
)

// Registry stores which content crashed which upstreams. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[Fingerprint]*Entry
	// runs counts the successful runs on this node, of content with and without crashes.
	runs *simplelru.LRU[Fingerprint, *runStats]
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	runs, err := simplelru.NewLRU[Fingerprint, *runStats](maxRunStats, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	return &Registry{entries: make(map[Fingerprint]*Entry), runs: runs}
}

// Check returns a refusal if the content is quarantined; the request was not run.
func (r *Registry) Check(f Fingerprint) *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok || !e.Quarantined() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodePoison,
		"%d upstreams crashed while they ran this content (fingerprint %016x); an operator can clear it", e.Count(), uint64(f))
}

// RecordCrash records that upstream crashed while it ran the content and returns the number
// of crashes that count against the content. A crash by a reclaim is not recorded, and
// one that earlier successful runs dismiss does not count.
func (r *Registry) RecordCrash(now time.Time, f Fingerprint, upstream ident.Upstream, reclaimed bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if reclaimed {
		if !ok {
			return 0
		}
		return e.Count()
	}
	if !ok {
		e = r.insert(f)
	}
	crash := newCrash(now, upstream)
	if stats, ok := r.runs.Peek(f); ok && !e.hasCrash(crash.ID) {
		crash.Absolved = stats.dismisses(now)
	}
	e.add(crash)
	e.trim()
	return e.Count()
}

// DismissCrashes dismisses the crashes of upstream between from and to, because another cause
// was found for them, such as a reclaim that was reported late.
func (r *Registry) DismissCrashes(upstream ident.Upstream, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at := from.Truncate(crashWindow); !at.After(to); at = at.Add(crashWindow) {
		id := newCrash(at, upstream).ID
		for _, e := range r.entries {
			e.dismiss(id)
		}
	}
}

// dismiss dismisses the crash with the given ID, if the entry has it.
func (e *Entry) dismiss(id uint64) {
	for i := range e.Crashes {
		if e.Crashes[i].ID == id {
			e.Crashes[i].Absolved = true
		}
	}
}

// Suspect reports whether any crash counts against the content.
func (r *Registry) Suspect(f Fingerprint) bool {
	return r.Crashes(f) > 0
}

// Crashes returns the number of crashes that count against the content.
func (r *Registry) Crashes(f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok {
		return 0
	}
	return e.Count()
}

// RecordSuccess records a successful run of the content and returns the number of crashes
// that still count against it. Content that crashes only some of its upstreams also
// succeeds at times, so a single run proves little: runsPerDismissal runs dismiss one
// crash, the oldest first. Crashes of quarantined content are not dismissed, because its
// last runs started before the quarantine.
func (r *Registry) RecordSuccess(now time.Time, f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e != nil && e.Quarantined() {
		return e.Count()
	}
	stats, ok := r.runs.Get(f)
	if !ok {
		stats = &runStats{}
		r.runs.Add(f, stats)
	}
	stats.finished = min(stats.finished+1, runsPerDismissal)
	if e == nil {
		return 0
	}
	if e.Count() > 0 && stats.spendRuns(now) {
		e.dismissOldest()
	}
	return e.Count()
}

// Clear discards the crashes of the content up to time now, so that they no longer count.
// It returns false if the content is unknown.
func (r *Registry) Clear(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok {
		return false
	}
	e.ClearedAt = max(e.ClearedAt, now.Unix())
	e.trim()
	return true
}

// EndQuarantines ends the quarantine of content whose quarantine time has passed without a
// new crash, and returns the fingerprints. Their next crash quarantines them again, each
// time for longer.
func (r *Registry) EndQuarantines(now time.Time) (released []Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.entries {
		if !e.Quarantined() || now.Unix() < e.lastEvent()+int64(e.quarantineTime().Seconds()) {
			continue
		}
		for e.Quarantined() {
			e.dismissOldest()
		}
		released = append(released, f)
	}
	return released
}

// Snapshot returns all entries ordered by fingerprint, for gossip and operators.
func (r *Registry) Snapshot() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		entry := *e
		entry.Crashes = slices.Clone(e.Crashes)
		out = append(out, entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Sample returns entries for gossip, chosen at random: at most repeated of those with more
// than one crash, and at most others of the rest that had an event after since.
func (r *Registry) Sample(repeated, others int, since time.Time, random *rand.Rand) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, second := reservoir{size: repeated}, reservoir{size: others}
	for _, e := range r.entries {
		if e.Count() > 1 {
			first.offer(e, random)
			continue
		}
		if e.lastEvent() >= since.Unix() {
			second.offer(e, random)
		}
	}
	out := make([]Entry, 0, len(first.kept)+len(second.kept))
	for _, e := range append(first.kept, second.kept...) {
		entry := *e
		entry.Crashes = slices.Clone(e.Crashes)
		out = append(out, entry)
	}
	return out
}

// Merge adds the entries of another node's registry.
func (r *Registry) Merge(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		e, ok := r.entries[entries[i].Fingerprint]
		if !ok {
			e = r.insert(entries[i].Fingerprint)
		}
		e.merge(&entries[i])
	}
}

// RemoveExpired removes entries whose retention has expired.
func (r *Registry) RemoveExpired(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := now.Add(-retention).Unix()
	for f, e := range r.entries {
		if e.lastEvent() < limit {
			delete(r.entries, f)
		}
	}
}

// insert adds an empty entry. If the registry is full, it evicts an entry with the fewest
// crashes, and among these the one whose latest event is oldest.
func (r *Registry) insert(f Fingerprint) *Entry {
	if len(r.entries) >= maxEntries {
		r.evictLeast()
	}
	e := &Entry{Fingerprint: f}
	r.entries[f] = e
	return e
}

func (r *Registry) evictLeast() {
	var least *Entry
	for _, e := range r.entries {
		if least == nil || evictedAfter(least, e) {
			least = e
		}
	}
	delete(r.entries, least.Fingerprint)
}

// evictedAfter reports whether a is evicted after b.
func evictedAfter(a, b *Entry) bool {
	return cmp.Or(
		cmp.Compare(min(b.Count(), MaxCrashes), min(a.Count(), MaxCrashes)),
		cmp.Compare(b.lastEvent(), a.lastEvent()),
		cmp.Compare(b.Fingerprint, a.Fingerprint),
	) < 0
}
