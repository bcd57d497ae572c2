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
	// rememberTime is how long a content is remembered after the last crash.
	rememberTime = 24 * time.Hour
	// maxEntries bounds how many contents are remembered.
	maxEntries = 4096
)

// Registry remembers which contents crashed which upstreams. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[Fingerprint]*Entry
	// records holds how contents ran on this node, whether upstreams died under them or not.
	records *simplelru.LRU[Fingerprint, *record]
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	records, err := simplelru.NewLRU[Fingerprint, *record](maxRecords, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	return &Registry{entries: make(map[Fingerprint]*Entry), records: records}
}

// Check refuses a convicted content; the request was not run.
func (r *Registry) Check(f Fingerprint) *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok || !e.Convicted() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodePoison,
		"%d upstreams crashed while they ran this content (fingerprint %016x); an operator can clear it", e.Count(), uint64(f))
}

// Crashed notes that upstream died while it ran the content and returns how
// many crashes count against it. A death by reclaim counts against nobody, and one that
// runs to their end outweigh does not count.
func (r *Registry) Crashed(now time.Time, f Fingerprint, upstream ident.Upstream, reclaimed bool) int {
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
		e = r.remember(f)
	}
	crash := newCrash(now, upstream)
	if known, ok := r.records.Peek(f); ok && !e.has(crash.ID) {
		crash.Absolved = known.outweighs(now)
	}
	e.add(crash)
	e.trim()
	return e.Count()
}

// Absolve takes back the crashes of upstream between from and to, because it
// turned out to have died of something else, such as a reclaim heard of late.
func (r *Registry) Absolve(upstream ident.Upstream, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at := from.Truncate(crashGrain); !at.After(to); at = at.Add(crashGrain) {
		id := newCrash(at, upstream).ID
		for _, e := range r.entries {
			e.absolve(id)
		}
	}
}

func (e *Entry) absolve(id uint64) {
	for i := range e.Crashes {
		if e.Crashes[i].ID == id {
			e.Crashes[i].Absolved = true
		}
	}
}

// Suspect reports whether crashes count against the content.
func (r *Registry) Suspect(f Fingerprint) bool {
	return r.Crashes(f) > 0
}

// Crashes returns how many crashes count against the content.
func (r *Registry) Crashes(f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[f]
	if !ok {
		return 0
	}
	return e.Count()
}

// Succeeded notes that the content finished and returns how many crashes still count
// against it. One run says little of a content that ends some of what runs it: so many as
// tell it from an innocent one take back a crash, the oldest first. Nothing takes one back
// of a convicted content, whose last runs began before.
func (r *Registry) Succeeded(now time.Time, f Fingerprint) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[f]
	if e != nil && e.Convicted() {
		return e.Count()
	}
	known, ok := r.records.Get(f)
	if !ok {
		known = &record{}
		r.records.Add(f, known)
	}
	known.finished = min(known.finished+1, runsPerDeath)
	if e == nil {
		return 0
	}
	if e.Count() > 0 && known.use(now) {
		e.absolveOldest()
	}
	return e.Count()
}

// Clear makes the crashes of a content until now count no more; it is false
// when the content is unknown.
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

// Parole lets contents run again under which no upstream died for long. Their next crash
// convicts them again, each time for longer.
func (r *Registry) Parole(now time.Time) (released []Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.entries {
		if !e.Convicted() || now.Unix() < e.newest()+int64(e.sentence().Seconds()) {
			continue
		}
		for e.Convicted() {
			e.absolveOldest()
		}
		released = append(released, f)
	}
	return released
}

// Snapshot returns all entries in the order of their fingerprints, for gossip and operators.
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

// Sample returns entries for gossip: so many of the contents that crashed more than one
// upstream, and so many of the others of which something was heard since a time, each
// chosen by chance.
func (r *Registry) Sample(repeated, others int, since time.Time, random *rand.Rand) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, second := reservoir{size: repeated}, reservoir{size: others}
	for _, e := range r.entries {
		if e.Count() > 1 {
			first.offer(e, random)
			continue
		}
		if e.newest() >= since.Unix() {
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

// Merge takes in the entries of another node's registry.
func (r *Registry) Merge(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range entries {
		e, ok := r.entries[entries[i].Fingerprint]
		if !ok {
			e = r.remember(entries[i].Fingerprint)
		}
		e.merge(&entries[i])
	}
}

// Forget drops contents of which nothing was heard for a day.
func (r *Registry) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := now.Add(-rememberTime).Unix()
	for f, e := range r.entries {
		if e.newest() < limit {
			delete(r.entries, f)
		}
	}
}

// remember makes an entry; when there are too many, one with the fewest crashes goes, of
// these the one heard of longest ago.
func (r *Registry) remember(f Fingerprint) *Entry {
	if len(r.entries) >= maxEntries {
		r.forgetLeast()
	}
	e := &Entry{Fingerprint: f}
	r.entries[f] = e
	return e
}

func (r *Registry) forgetLeast() {
	var least *Entry
	for _, e := range r.entries {
		if least == nil || outranks(least, e) {
			least = e
		}
	}
	delete(r.entries, least.Fingerprint)
}

// outranks reports whether b is to be forgotten before a.
func outranks(a, b *Entry) bool {
	return cmp.Or(
		cmp.Compare(min(b.Count(), MaxCrashes), min(a.Count(), MaxCrashes)),
		cmp.Compare(b.newest(), a.newest()),
		cmp.Compare(b.Fingerprint, a.Fingerprint),
	) < 0
}
