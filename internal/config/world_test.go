package config

import (
	"fmt"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxExplored limits the number of states of an exploration.
	maxExplored = 5_000_000
)

// rules are the transition functions under test; variants replace one with a faulty one.
type rules struct {
	nextStep     func(attempt) step
	recordWrite  func(attempt, writeResult, uint64, *Document) attempt
	finalOutcome func(attempt) Outcome
}

// correctRules returns the functions of attempt, made to copy the state that they modify.
func correctRules() rules {
	return rules{
		nextStep: func(a attempt) step { return a.nextStep() },
		recordWrite: func(a attempt, result writeResult, base uint64, returned *Document) attempt {
			a.unconfirmed = slices.Clone(a.unconfirmed)
			a.recordWrite(result, base, returned)
			return a
		},
		finalOutcome: func(a attempt) Outcome { return a.finalOutcome("no time left") },
	}
}

// proposer is the attempt of one operator.
type proposer struct {
	attempt attempt
	// waiting is true while the proposer waits for the response to a write with base version base.
	waiting bool
	base    uint64
	// timeouts counts the responses that the proposer has given up waiting for.
	timeouts int
	outcome  *Outcome
	started  bool
	// appliedBefore is true when the change was applied before the operator sent this proposal.
	appliedBefore bool
}

// message is a conditional write in flight to the store.
type message struct {
	from int
	base uint64
	next *Document
}

// world is one state of the model: the versions in the store, writes in flight, and the proposers.
type world struct {
	versions  []*Document
	inFlight  []message
	proposers []proposer
	// archive is the content of the archive; it is replaced, never modified.
	archive *bucket
	// archiving is true when nodes may archive the oldest change that they list at any time.
	archiving bool
	// maxTimeouts is the maximum number of lost responses per proposer.
	maxTimeouts int
}

func (w *world) clone() *world {
	return &world{
		versions: slices.Clone(w.versions), inFlight: slices.Clone(w.inFlight),
		proposers: slices.Clone(w.proposers), archive: w.archive, archiving: w.archiving, maxTimeouts: w.maxTimeouts,
	}
}

func (w *world) current() *Document {
	if len(w.versions) == 0 {
		return nil
	}
	return w.versions[len(w.versions)-1]
}

func (w *world) version() uint64 { return uint64(len(w.versions)) }

// key returns a string that identifies the state, to recognise visited ones.
func (w *world) key() string {
	var b strings.Builder
	for _, d := range w.versions {
		fmt.Fprintf(&b, "%s,", d.Site.Change)
	}
	flight := make([]string, 0, len(w.inFlight))
	for _, m := range w.inFlight {
		flight = append(flight, fmt.Sprintf("%d@%d:%s", m.from, m.base, listedChanges(m.next)))
	}
	slices.Sort(flight)
	fmt.Fprintf(&b, "|%v", flight)
	fmt.Fprintf(&b, "|%v", w.archive.Changes)
	for _, p := range w.proposers {
		fmt.Fprintf(&b, "|%v %v", p.started, p.appliedBefore)
		fmt.Fprintf(&b, " %v", p.attempt.archived)
		if s := p.attempt.search; s != nil {
			fmt.Fprintf(&b, " %d %v", s.version, s.found)
		}
		fmt.Fprintf(&b, " %s %v %v %v %d %d", listedChanges(p.attempt.current), p.attempt.fresh, p.attempt.unconfirmed, p.waiting, p.base, p.timeouts)
		if p.outcome != nil {
			fmt.Fprintf(&b, " %s %d", p.outcome.Kind, p.outcome.Version)
		}
	}
	return b.String()
}

// listedChanges returns the IDs of the changes that a document lists.
func listedChanges(d *Document) string {
	if d == nil {
		return "-"
	}
	out := ""
	for _, r := range d.Recent {
		out += string(r.Change) + ","
	}
	return out
}

// withProposer returns a copy of the world in which change was applied to proposer i.
func (w *world) withProposer(i int, change func(*world, *proposer)) *world {
	out := w.clone()
	change(out, &out.proposers[i])
	return out
}

// successors returns every world that one event leads to.
func (w *world) successors(r rules) []*world {
	var out []*world
	for i := range w.proposers {
		p := w.proposers[i]
		if p.outcome != nil {
			continue
		}
		if !p.started {
			out = append(out, w.start(i))
			continue
		}
		if p.waiting {
			if p.timeouts < w.maxTimeouts {
				out = append(out, w.withProposer(i, func(_ *world, p *proposer) {
					p.waiting = false
					p.timeouts++
					p.attempt = r.recordWrite(p.attempt, writeUnknown, p.base, nil)
				}))
			}
			continue
		}
		out = append(out, w.withProposer(i, func(_ *world, p *proposer) { o := r.finalOutcome(p.attempt); p.outcome = &o }))
		out = append(out, w.steps(i, r)...)
		out = append(out, w.archiveOldest(i)...)
	}
	for k := range w.inFlight {
		out = append(out, w.arrivals(k, r)...)
	}
	return out
}

// steps returns the worlds that the next step of a proposer leads to.
func (w *world) steps(i int, r rules) []*world {
	s := r.nextStep(w.proposers[i].attempt)
	switch {
	case s.outcome != nil:
		return []*world{w.withProposer(i, func(_ *world, p *proposer) { p.outcome = s.outcome })}
	case s.reread:
		return []*world{w.withProposer(i, func(w *world, p *proposer) { p.attempt.updateFresh(w.current()) })}
	case s.search:
		return []*world{w.withProposer(i, func(w *world, p *proposer) { p.attempt.recordSearch(p.attempt.current.Site.Version, w.archive) })}
	case s.archive != nil:
		return []*world{w.withProposer(i, func(w *world, p *proposer) {
			if w.archive.find(s.archive.Change) == nil {
				w.archive = w.archive.withChange(*s.archive)
			}
			p.attempt.markArchived(s.archive.Change)
		})}
	}
	return []*world{w.withProposer(i, func(w *world, p *proposer) {
		p.waiting, p.base = true, s.base
		w.inFlight = append(w.inFlight, message{from: i, base: s.base, next: s.document})
	})}
}

// archiveOldest returns the world after a node archived the oldest change that it lists.
func (w *world) archiveOldest(i int) []*world {
	a := w.proposers[i].attempt
	if !w.archiving || len(a.current.Recent) < 2 || a.archived[a.current.Recent[0].Change] {
		return nil
	}
	oldest := a.current.archivedChangeAt(0)
	return []*world{w.withProposer(i, func(w *world, p *proposer) {
		if w.archive.find(oldest.Change) == nil {
			w.archive = w.archive.withChange(oldest)
		}
		p.attempt.markArchived(oldest.Change)
	})}
}

// arrivals returns the worlds that a write in flight leads to: it is lost, or it
// reaches the store with or without its response reaching the proposer.
func (w *world) arrivals(k int, r rules) []*world {
	m := w.inFlight[k]
	lost := w.clone()
	lost.inFlight = slices.Delete(lost.inFlight, k, k+1)
	arrived := lost.clone()
	result := writeConflict
	if m.base == arrived.version() {
		d := *m.next
		d.Site.Version = m.base + 1
		arrived.versions = append(arrived.versions, &d)
		result = writeApplied
	}
	p := arrived.proposers[m.from]
	if !p.waiting || p.base != m.base {
		return []*world{lost, arrived}
	}
	answered := arrived.withProposer(m.from, func(w *world, p *proposer) {
		p.waiting = false
		p.attempt = r.recordWrite(p.attempt, result, m.base, w.current())
	})
	return []*world{lost, arrived, answered}
}

// fault returns the violated invariant of the world, or "".
func (w *world) fault() string {
	seen := make(map[ident.Change]int)
	for i, d := range w.versions {
		if seen[d.Site.Change]++; seen[d.Site.Change] > 1 {
			return "a change took effect twice: " + string(d.Site.Change)
		}
		for _, before := range w.versions[:i+1] {
			if d.find(before.Site.Change) < 0 && w.archive.find(before.Site.Change) == nil {
				return "a version lacks an earlier change"
			}
		}
	}
	for _, p := range w.proposers {
		if p.outcome == nil {
			continue
		}
		change := p.attempt.proposal.Change
		appliedAt := slices.IndexFunc(w.versions, func(d *Document) bool { return d.Site.Change == change })
		switch {
		case p.outcome.Kind == OutcomeAccepted && (appliedAt < 0 || p.outcome.Version != uint64(appliedAt+1)):
			return "a false accepted: " + string(change)
		case (p.outcome.Kind == OutcomeRefused || p.outcome.Kind == OutcomeConflict) && appliedAt >= 0 && (p.appliedBefore || w.sentOnce(change)):
			return "a false " + string(p.outcome.Kind) + ": " + string(change)
		}
	}
	return ""
}

// start sends the proposal of proposer i; the node still has its initial knowledge,
// which may be stale by then.
func (w *world) start(i int) *world {
	return w.withProposer(i, func(w *world, p *proposer) {
		p.started = true
		p.appliedBefore = slices.ContainsFunc(w.versions, func(d *Document) bool { return d.Site.Change == p.attempt.proposal.Change })
	})
}

// sentOnce reports whether a change has exactly one proposer.
func (w *world) sentOnce(change ident.Change) bool {
	n := 0
	for _, p := range w.proposers {
		if p.attempt.proposal.Change == change {
			n++
		}
	}
	return n == 1
}

// explore visits every reachable world, and returns their number and the first fault found.
func explore(start *world, r rules) (states int, fault string) {
	visited := map[string]bool{start.key(): true}
	queue := []*world{start}
	for len(queue) > 0 && len(visited) < maxExplored {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if f := w.fault(); f != "" {
			return len(visited), f
		}
		for _, next := range w.successors(r) {
			if key := next.key(); !visited[key] {
				visited[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(visited), ""
}
