package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxPartCrashes limits the crashes stored per prompt part.
	maxPartCrashes = 64
	// minPartCrashes is how many crashes lead to the refusal of a prompt part. A part that other
	// runs succeeded with needs more, as it may only have been in flight beside another one.
	minPartCrashes       = 3
	minProvenPartCrashes = 4
	// minPartSpan is the least time between the first and the last of these crashes: upstreams
	// that crash at the same moment may have another cause in common.
	minPartSpan       = time.Second
	minProvenPartSpan = 2 * time.Second
)

// PartFingerprint returns the fingerprint of a part of prompts, by its ID.
func PartFingerprint(id string) Fingerprint { return FingerprintOf("", "", "prompt-part", id) }

// PartCrash is a crash of an upstream while it ran a request with a prompt part.
type PartCrash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Upstream is a hash of the upstream's incarnation, which crashes only once.
	Upstream uint64 `json:"upstream"`
	// At is when the response was lost, in milliseconds since 1970.
	At int64 `json:"at"`
	// Refuted is true once the part was run with success after the crash.
	Refuted bool `json:"refuted,omitempty"`
}

// Suspect is the evidence against one part of prompts, which requests share.
type Suspect struct {
	_msgpack struct{}    `msgpack:",as_array"` //nolint:unused // read by the codec
	Part     Fingerprint `json:"part"`
	// Depth is the largest number of parts that stood before it.
	Depth int `json:"depth,omitempty"`
	// Proven is true if a request with the part has succeeded at some node.
	Proven bool `json:"proven,omitempty"`
	// Crashes are ordered by time, the newest first.
	Crashes []PartCrash `json:"crashes"`
	// RefutedBefore is the time before which all crashes are refuted, those that are not listed
	// included, in milliseconds since 1970; 0 for none.
	RefutedBefore int64 `json:"refutedBefore,omitempty"`

	// open is the number of crashes that are not refuted.
	open int
}

// hashIncarnation returns the PartCrash.Upstream of an incarnation.
func hashIncarnation(upstream ident.Upstream) uint64 { return xxhash.Sum64String(string(upstream)) }

// countOpen updates open after a change of the crashes.
func (s *Suspect) countOpen() {
	s.open = 0
	for i := range s.Crashes {
		if !s.Crashes[i].Refuted {
			s.open++
		}
	}
}

// lastCrash returns the time of the newest crash, in milliseconds since 1970; 0 without any.
func (s *Suspect) lastCrash() int64 {
	if len(s.Crashes) == 0 {
		return 0
	}
	return s.Crashes[0].At
}

// add adds a crash and reports whether that changed the evidence. A known one is refuted if
// either of the two is.
func (s *Suspect) add(c PartCrash) bool {
	for i := range s.Crashes {
		known := &s.Crashes[i]
		if known.Upstream != c.Upstream {
			continue
		}
		changed := c.Refuted && !known.Refuted
		known.Refuted = known.Refuted || c.Refuted
		known.At = min(known.At, c.At)
		return changed
	}
	s.Crashes = append(s.Crashes, c)
	s.trim()
	return true
}

// merge adds the evidence of other and reports whether that changed anything.
func (s *Suspect) merge(other *Suspect) bool {
	changed := (other.Proven && !s.Proven) || other.Depth > s.Depth
	s.Proven = s.Proven || other.Proven
	s.Depth = max(s.Depth, other.Depth)
	for _, c := range other.Crashes {
		if s.add(c) {
			changed = true
		}
	}
	if s.refute(max(s.RefutedBefore, other.RefutedBefore)) {
		return true
	}
	if changed {
		s.countOpen()
	}
	return changed
}

// refute refutes the crashes before a time, in milliseconds since 1970, and reports whether that
// changed anything.
func (s *Suspect) refute(before int64) bool {
	s.RefutedBefore = max(s.RefutedBefore, before)
	changed := false
	for i := range s.Crashes {
		if c := &s.Crashes[i]; !c.Refuted && c.At < before {
			c.Refuted, changed = true, true
		}
	}
	if changed {
		s.countOpen()
	}
	return changed
}

// trim keeps the newest crashes.
func (s *Suspect) trim() {
	slices.SortFunc(s.Crashes, func(a, b PartCrash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	if len(s.Crashes) > maxPartCrashes {
		s.Crashes = s.Crashes[:maxPartCrashes]
	}
}

// sample returns a copy with at most n crashes: the newest, and the oldest that is not refuted, so
// that they span as much time as all of them.
func (s *Suspect) sample(n int) Suspect {
	out := *s
	if len(s.Crashes) <= n {
		out.Crashes = slices.Clone(s.Crashes)
		return out
	}
	out.Crashes = slices.Clone(s.Crashes[:n])
	for i := len(s.Crashes) - 1; i >= n; i-- {
		if !s.Crashes[i].Refuted {
			out.Crashes[n-1] = s.Crashes[i]
			break
		}
	}
	return out
}
