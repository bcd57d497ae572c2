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

// minDrainTime is the minimum time that an upstream remains available after it was only
// drained: the longest that a request may take.
const minDrainTime = time.Hour

// LeavingMarks holds the marks of upstreams and hosts that are leaving, from all sources
// and all nodes.
//
// Invariants: a mark made on this node is in force here when MarkUpstream, MarkHost or
// MarkReclaim returns; the latest mark of a subject wins on every node; a mark without
// a reclaim time keeps the one already known; a drain declared by the configuration is
// removed only by the configuration, whatever marks of its subject are set or cleared.
//
// Lock order: mu is a leaf; nothing is published and no callback runs while it is held.
type LeavingMarks struct {
	broadcaster MarkBroadcaster
	now         func() time.Time

	// changes counts the marks that were applied, clearing ones included.
	changes atomic.Uint64

	mu    sync.RWMutex
	marks map[Subject]heldMark
	// drains holds the drains of the configuration version drainsVersion.
	drains        map[Subject]Mark
	drainsVersion uint64
	onMark        []func(Mark)
}

// NewLeavingMarks returns an empty set of marks that is shared with other nodes through
// broadcaster; now is the clock.
func NewLeavingMarks(broadcaster MarkBroadcaster, now func() time.Time) *LeavingMarks {
	l := &LeavingMarks{broadcaster: broadcaster, now: now, marks: make(map[Subject]heldMark)}
	broadcaster.Subscribe(membership.TopicLeaving, l.handleRumour)
	return l
}

// Changes returns the number of marks and drains applied or cleared so far. It never
// decreases.
func (l *LeavingMarks) Changes() uint64 {
	return l.changes.Load()
}

// OnMark registers f to be called with each mark applied from now on, clearing ones
// and drains included.
func (l *LeavingMarks) OnMark(f func(Mark)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onMark = append(l.onMark, f)
}

// MarkUpstream marks an upstream as leaving; at is when this was learnt. An error means
// that the mark was not published; it is in force on this node nevertheless.
func (l *LeavingMarks) MarkUpstream(id ident.Upstream, at time.Time, source Source) error {
	return l.mark(Mark{Subject: Subject{Upstream: id}, At: at, Source: source})
}

// MarkHost marks every upstream of a host as leaving; at is when this was learnt. An
// error means that the mark was not published; it is in force on this node nevertheless.
func (l *LeavingMarks) MarkHost(id ident.Host, at time.Time, source Source) error {
	return l.mark(Mark{Subject: Subject{Host: id}, At: at, Source: source})
}

// MarkReclaim marks every upstream of a host that the platform reclaims at reclaimAt;
// at is when this was learnt. An error means that the mark was not published; it is in
// force on this node nevertheless.
func (l *LeavingMarks) MarkReclaim(id ident.Host, at, reclaimAt time.Time) error {
	return l.mark(Mark{Subject: Subject{Host: id}, At: at, Source: SourceNotice, ReclaimAt: reclaimAt})
}

// Clear clears a mark on every node and reports whether there was one. A source that
// later sees the subject leaving marks it again.
func (l *LeavingMarks) Clear(subject Subject) (bool, error) {
	l.mu.RLock()
	current, known := l.marks[subject]
	l.mu.RUnlock()
	if !known || !current.inForce(l.now()) {
		return false, nil
	}
	at := atLeast1msAfter(l.now(), current.At)
	return true, l.applyAndPublish(Mark{Subject: subject, At: at, Source: SourceOperator, Cleared: true})
}

// atLeast1msAfter returns at if it is at least 1 ms after before, and otherwise before plus 1 ms,
// because marks are versioned in milliseconds.
func atLeast1msAfter(at, before time.Time) time.Time {
	if at.Sub(before) < time.Millisecond {
		return before.Add(time.Millisecond)
	}
	return at
}

// mark applies and publishes m. It does nothing if the subject's mark is younger than
// half of MarkLifetime and m does not change the reclaim time, or if the subject was cleared
// at or after m.At.
func (l *LeavingMarks) mark(m Mark) error {
	m.At = m.At.Truncate(time.Millisecond)
	l.mu.RLock()
	current, known := l.marks[m.Subject]
	l.mu.RUnlock()
	if known && !current.Cleared && m.changesReclaimTime(current.Mark) {
		m.At = atLeast1msAfter(m.At, current.At)
		return l.applyAndPublish(m)
	}
	if known && !current.Cleared && m.At.Sub(current.At) < MarkLifetime/2 {
		return nil
	}
	if known && current.Cleared && !m.At.After(current.At) {
		return nil
	}
	return l.applyAndPublish(m)
}

func (l *LeavingMarks) applyAndPublish(m Mark) error {
	payload, err := m.encode()
	if err != nil {
		return err
	}
	l.apply(m)
	return l.broadcaster.Publish(membership.TopicLeaving, m.Subject.String(), m.version(), payload)
}

func (l *LeavingMarks) handleRumour(r membership.Rumour) {
	m, err := decodeMark(r.Key, r.Payload)
	if err != nil {
		return // a later release may publish marks that this one cannot decode
	}
	l.apply(m)
}

// apply stores m and runs the callbacks, unless a mark of its subject that is as late
// or later is known.
func (l *LeavingMarks) apply(m Mark) {
	l.mu.Lock()
	current, known := l.marks[m.Subject]
	if known && !m.At.After(current.At) {
		l.mu.Unlock()
		return
	}
	if known && m.ReclaimAt.IsZero() && !m.Cleared && current.inForce(l.now()) {
		m.ReclaimAt = current.ReclaimAt
	}
	l.dropExpired(l.now())
	l.marks[m.Subject] = heldMark{Mark: m, expiresAt: l.now().Add(MarkLifetime)}
	l.changes.Add(1)
	callbacks := slices.Clone(l.onMark)
	l.mu.Unlock()
	for _, f := range callbacks {
		f(m)
	}
}

// dropExpired deletes marks that expired more than MarkLifetime ago, which no node publishes
// any more; l.mu must be held.
func (l *LeavingMarks) dropExpired(now time.Time) {
	for subject, m := range l.marks {
		if now.Sub(m.expiresAt) > MarkLifetime {
			delete(l.marks, subject)
		}
	}
}

// IsLeaving reports whether the upstream or its host is marked or drained.
func (l *LeavingMarks) IsLeaving(u Upstream) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.isLeaving(&u, l.now())
}

// isLeaving is IsLeaving at the time now; l.mu must be held.
func (l *LeavingMarks) isLeaving(u *Upstream, now time.Time) bool {
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

// ReclaimAt returns when the platform reclaims the host of an upstream, by the
// platform's clock. It is zero when the upstream is not marked or the time is unknown.
// An upstream that is only drained stays until its requests have ended, so its time is
// minDrainTime from now.
func (l *LeavingMarks) ReclaimAt(u Upstream) time.Time {
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
		return now.Add(minDrainTime)
	}
	return time.Time{}
}

// isDrained reports whether the configuration drains the upstream or its host; l.mu
// must be held.
func (l *LeavingMarks) isDrained(u *Upstream) bool {
	_, upstream := l.drains[Subject{Upstream: u.ID}]
	_, host := l.drains[Subject{Host: u.Host}]
	return upstream || host
}

// Marks returns the marks in force, drains included, sorted by subject, for operators.
func (l *LeavingMarks) Marks() []Mark {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.now()
	var out []Mark
	for _, m := range l.marks {
		if m.inForce(now) {
			out = append(out, m.Mark)
		}
	}
	out = slices.AppendSeq(out, maps.Values(l.drains))
	slices.SortFunc(out, func(a, b Mark) int { return strings.Compare(a.Subject.String(), b.Subject.String()) })
	return out
}
