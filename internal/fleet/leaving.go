package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// drainTime is how long an upstream that is only drained is there at least: the
// longest that a request may take.
const drainTime = time.Hour

// Leaving holds the marks of upstreams and hosts that are leaving, however and
// at whichever node it was learnt.
//
// Invariants: a mark made here is in force here when Mark returns; of one
// subject the later mark wins on every node; one that doesn't know the reclaim
// time leaves the known one in force; a drain that the configuration declares ends
// with the configuration only, whatever marks of its subject come and go.
//
// Lock order: Leaving.mu is a leaf; nothing is spread and no callback runs while it is held.
type Leaving struct {
	spreader Spreader
	now      func() time.Time

	// changes counts the marks that came into force or were cleared.
	changes atomic.Uint64

	mu    sync.RWMutex
	marks map[Subject]heldMark
	// declared are the drains of the configuration, by its version declaredVersion.
	declared        map[Subject]Mark
	declaredVersion uint64
	onMark          []func(Mark)
}

// NewLeaving returns marks that are shared by spreader; now is the clock.
func NewLeaving(spreader Spreader, now func() time.Time) *Leaving {
	l := &Leaving{spreader: spreader, now: now, marks: make(map[Subject]heldMark)}
	spreader.Subscribe(membership.TopicLeaving, l.hear)
	return l
}

// Changes counts the marks that came into force or were cleared; it only grows.
func (l *Leaving) Changes() uint64 {
	return l.changes.Load()
}

// OnMark has f called with each mark that comes into force from now on.
func (l *Leaving) OnMark(f func(Mark)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onMark = append(l.onMark, f)
}

// MarkUpstream marks an upstream that was learnt to be leaving at the time at.
// It returns the errors of the spreader; the mark is in force here all the same.
func (l *Leaving) MarkUpstream(id ident.Upstream, at time.Time, source Source) error {
	return l.mark(Mark{Subject: Subject{Upstream: id}, At: at, Source: source})
}

// MarkHost marks every upstream of a host that was learnt to be leaving at the time at.
// It returns the errors of the spreader; the mark is in force here all the same.
func (l *Leaving) MarkHost(id ident.Host, at time.Time, source Source) error {
	return l.mark(Mark{Subject: Subject{Host: id}, At: at, Source: source})
}

// MarkReclaim marks every upstream of a host that was learnt, at the time at, to
// be taken away at reclaimAt. It returns the errors of the spreader; the mark is
// in force here all the same.
func (l *Leaving) MarkReclaim(id ident.Host, at, reclaimAt time.Time) error {
	return l.mark(Mark{Subject: Subject{Host: id}, At: at, Source: SourceNotice, ReclaimAt: reclaimAt})
}

// Clear takes a mark back on every node and reports whether there was one.
// What is learnt later marks the subject again.
func (l *Leaving) Clear(subject Subject) (bool, error) {
	l.mu.RLock()
	current, known := l.marks[subject]
	l.mu.RUnlock()
	if !known || !current.inForce(l.now()) {
		return false, nil
	}
	at := after(l.now(), current.At)
	return true, l.spread(Mark{Subject: subject, At: at, Source: SourceOperator, Cleared: true})
}

// after returns at, or the first time behind before that a mark can tell from it.
func after(at, before time.Time) time.Time {
	if at.Sub(before) < time.Millisecond {
		return before.Add(time.Millisecond)
	}
	return at
}

// mark spreads m unless the subject is marked already and will be for a while,
// and m says nothing new of its reclaim time.
func (l *Leaving) mark(m Mark) error {
	m.At = m.At.Truncate(time.Millisecond)
	l.mu.RLock()
	current, known := l.marks[m.Subject]
	l.mu.RUnlock()
	if known && !current.Cleared && m.tellsReclaim(current.Mark) {
		m.At = after(m.At, current.At)
		return l.spread(m)
	}
	if known && !current.Cleared && m.At.Sub(current.At) < MarkLife/2 {
		return nil
	}
	if known && current.Cleared && !m.At.After(current.At) {
		return nil
	}
	return l.spread(m)
}

func (l *Leaving) spread(m Mark) error {
	payload, err := m.encode()
	if err != nil {
		return err
	}
	l.apply(m)
	return l.spreader.Publish(membership.TopicLeaving, m.Subject.String(), m.version(), payload)
}

func (l *Leaving) hear(r membership.Rumour) {
	m, err := decodeMark(r.Key, r.Payload)
	if err != nil {
		return // of a later release
	}
	l.apply(m)
}

// apply brings m into force unless a later mark of its subject is known.
func (l *Leaving) apply(m Mark) {
	l.mu.Lock()
	current, known := l.marks[m.Subject]
	if known && !m.At.After(current.At) {
		l.mu.Unlock()
		return
	}
	if known && m.ReclaimAt.IsZero() && !m.Cleared && current.inForce(l.now()) {
		m.ReclaimAt = current.ReclaimAt
	}
	l.dropOld(l.now())
	l.marks[m.Subject] = heldMark{Mark: m, until: l.now().Add(MarkLife)}
	l.changes.Add(1)
	callbacks := slices.Clone(l.onMark)
	l.mu.Unlock()
	for _, f := range callbacks {
		f(m)
	}
}

// dropOld forgets marks that nobody spreads any more; l.mu must be held.
func (l *Leaving) dropOld(now time.Time) {
	for subject, m := range l.marks {
		if now.Sub(m.until) > MarkLife {
			delete(l.marks, subject)
		}
	}
}

// IsLeaving reports whether the upstream or its host is marked.
func (l *Leaving) IsLeaving(u Upstream) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.isLeaving(&u, l.now())
}

// isLeaving needs l.mu.
func (l *Leaving) isLeaving(u *Upstream, now time.Time) bool {
	if l.isDrained(u) {
		return true
	}
	for _, subject := range []Subject{{Upstream: u.ID}, {Host: u.Host}} {
		if m, ok := l.marks[subject]; ok && m.inForce(now) {
			return true
		}
	}
	return false
}

// ReclaimAt returns when the host of an upstream is taken away, by the platform's
// clock. It is zero when the upstream isn't marked or nobody has said when. One
// that is only drained is not taken away while work is in progress there: it is
// drainTime ahead.
func (l *Leaving) ReclaimAt(u Upstream) time.Time {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.now()
	if m, ok := l.marks[Subject{Host: u.Host}]; ok && m.inForce(now) {
		return m.ReclaimAt
	}
	if m, ok := l.marks[Subject{Upstream: u.ID}]; ok && m.inForce(now) {
		return time.Time{}
	}
	if l.isDrained(&u) {
		return now.Add(drainTime)
	}
	return time.Time{}
}

// isDrained needs l.mu.
func (l *Leaving) isDrained(u *Upstream) bool {
	_, upstream := l.declared[Subject{Upstream: u.ID}]
	_, host := l.declared[Subject{Host: u.Host}]
	return upstream || host
}

// Marks returns the marks in force, drains among them, sorted by subject, for operators.
func (l *Leaving) Marks() []Mark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.now()
	var out []Mark
	for _, m := range l.marks {
		if m.inForce(now) {
			out = append(out, m.Mark)
		}
	}
	out = slices.AppendSeq(out, maps.Values(l.declared))
	slices.SortFunc(out, func(a, b Mark) int { return strings.Compare(a.Subject.String(), b.Subject.String()) })
	return out
}
