package poison

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxSuspects limits the number of prompt parts with crashes.
	maxSuspects = 4096
	// maxSucceededParts limits the prompt parts whose latest success is remembered.
	maxSucceededParts = 8192
)

// Suspects stores which prompt parts were in flight at upstreams that crashed, and decides which
// of them crash upstreams. It is safe for concurrent use.
type Suspects struct {
	// guilty holds the parts that are refused. The map is replaced, never changed.
	guilty atomic.Pointer[map[Fingerprint]bool]

	mu      sync.Mutex
	entries map[Fingerprint]*Suspect
	// succeeded holds when the latest request with a part that succeeded here was sent, in
	// milliseconds since 1970.
	succeeded *simplelru.LRU[Fingerprint, int64]
}

// NewSuspects returns a Suspects without any entries.
func NewSuspects() *Suspects {
	succeeded, err := simplelru.NewLRU[Fingerprint, int64](maxSucceededParts, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	s := &Suspects{entries: make(map[Fingerprint]*Suspect), succeeded: succeeded}
	s.guilty.Store(&map[Fingerprint]bool{})
	return s
}

// Guilty returns the index of the first of the parts that crashes upstreams.
func (s *Suspects) Guilty(parts []Fingerprint) (index int, found bool) {
	guilty := *s.guilty.Load()
	if len(guilty) == 0 {
		return 0, false
	}
	for i, p := range parts {
		if guilty[p] {
			return i, true
		}
	}
	return 0, false
}

// RecordCrash records that an upstream crashed while it ran a request with these parts, in the
// order of the prompt.
func (s *Suspects) RecordCrash(at time.Time, upstream ident.Upstream, parts []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for depth, p := range parts {
		crash := PartCrash{Upstream: hashIncarnation(upstream), At: at.UnixMilli()}
		if s.merge(&Suspect{Part: p, Depth: depth, Crashes: []PartCrash{crash}}) {
			changed = true
		}
	}
	s.updateGuilty(changed)
}

// RecordSuccess records that a request with these parts, sent at a time, succeeded.
func (s *Suspects) RecordSuccess(sentAt time.Time, parts []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := sentAt.UnixMilli()
	changed := false
	for _, p := range parts {
		if before, ok := s.succeeded.Get(p); !ok || before < at {
			s.succeeded.Add(p, at)
		}
		entry, ok := s.entries[p]
		if !ok {
			continue
		}
		candidate := entry.isCandidate()
		refuted := entry.refute(at)
		if candidate && (refuted || !entry.Proven) {
			changed = true
		}
		entry.Proven = true
	}
	s.updateGuilty(changed)
}

// Merge adds the evidence of another node or of a checkpoint.
func (s *Suspects) Merge(entries []Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for i := range entries {
		if s.merge(&entries[i]) {
			changed = true
		}
	}
	s.updateGuilty(changed)
}

// merge adds evidence against one part, and what this node knows in its favour. It reports whether
// that may change which parts are guilty.
func (s *Suspects) merge(evidence *Suspect) bool {
	entry, ok := s.entries[evidence.Part]
	if !ok {
		if len(s.entries) >= maxSuspects {
			s.evictLeast()
		}
		entry = &Suspect{Part: evidence.Part}
		s.entries[evidence.Part] = entry
	}
	before := entry.isCandidate()
	changed := entry.merge(evidence)
	if at, ok := s.succeeded.Peek(evidence.Part); ok && changed {
		entry.Proven = true
		entry.refute(at)
	}
	return changed && (before || entry.isCandidate())
}

// updateGuilty decides anew which parts are guilty, if the evidence changed.
func (s *Suspects) updateGuilty(changed bool) {
	if !changed {
		return
	}
	guilty := blame(s.entries)
	s.guilty.Store(&guilty)
}

// evictLeast removes an entry that is not guilty, one with the fewest crashes that count, and
// among these the one whose last crash is oldest.
func (s *Suspects) evictLeast() {
	guilty := *s.guilty.Load()
	var least *Suspect
	for _, e := range s.entries {
		if !guilty[e.Part] && (least == nil || compareEvidence(e, least) > 0) {
			least = e
		}
	}
	if least != nil {
		delete(s.entries, least.Part)
	}
}

// compareEvidence orders suspects by the crashes that count, and then by their newest crash.
func compareEvidence(a, b *Suspect) int {
	return cmp.Or(cmp.Compare(b.open, a.open), compareRecency(a, b))
}

// compareRecency orders suspects by their newest crash.
func compareRecency(a, b *Suspect) int {
	return cmp.Or(cmp.Compare(b.lastCrash(), a.lastCrash()), cmp.Compare(a.Part, b.Part))
}

// Release allows guilty parts again whose latest crash is older than the quarantine, and returns
// them.
func (s *Suspects) Release(now time.Time) []Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var released []Fingerprint
	for p := range *s.guilty.Load() {
		entry := s.entries[p]
		if now.UnixMilli() < entry.lastCrash()+baseQuarantine.Milliseconds() {
			continue
		}
		entry.refute(now.UnixMilli())
		released = append(released, p)
	}
	s.updateGuilty(len(released) > 0)
	return released
}

// SampleSize bounds the entries of a Sample.
type SampleSize struct {
	// Guilty bounds the guilty parts, Repeated those with more than one crash that counts, Newest
	// and Random the others: the newest, and a random choice.
	Guilty, Repeated, Newest, Random int
	// Crashes bounds the crashes of an entry.
	Crashes int
	// MaxAge bounds the age of the newest crash of Newest and Random entries; 0 is no bound.
	MaxAge time.Duration
}

// Sample returns entries for other nodes or a checkpoint.
func (s *Suspects) Sample(now time.Time, size SampleSize, random *rand.Rand) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	guilty := *s.guilty.Load()
	var convicted, repeated, others []*Suspect
	for _, e := range s.entries {
		switch {
		case guilty[e.Part]:
			convicted = append(convicted, e)
		case e.open > 1:
			repeated = append(repeated, e)
		case size.MaxAge == 0 || now.UnixMilli()-e.lastCrash() <= size.MaxAge.Milliseconds():
			others = append(others, e)
		}
	}
	random.Shuffle(len(convicted), func(i, j int) { convicted[i], convicted[j] = convicted[j], convicted[i] })
	slices.SortFunc(repeated, compareEvidence)
	slices.SortFunc(others, compareRecency)
	chosen := slices.Concat(convicted[:min(size.Guilty, len(convicted))], repeated[:min(size.Repeated, len(repeated))],
		others[:min(size.Newest, len(others))])
	others = others[min(size.Newest, len(others)):]
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	chosen = append(chosen, others[:min(size.Random, len(others))]...)
	out := make([]Suspect, 0, len(chosen))
	for _, e := range chosen {
		out = append(out, e.sample(size.Crashes))
	}
	return out
}

// GuiltyParts returns the guilty parts and the number of crashes that count against each.
func (s *Suspects) GuiltyParts() map[Fingerprint]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[Fingerprint]int)
	for p := range *s.guilty.Load() {
		out[p] = s.entries[p].open
	}
	return out
}

// Len returns the number of parts with crashes that count.
func (s *Suspects) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.entries {
		if e.open > 0 {
			n++
		}
	}
	return n
}
