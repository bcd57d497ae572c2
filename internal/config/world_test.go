package config

import (
	"fmt"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxExplored bounds an exploration that does not end.
	maxExplored = 5_000_000
)

// rules are the transition functions that are explored; variants replace one.
type rules struct {
	next   func(attempt) step
	wrote  func(attempt, writeAnswer, uint64, *Document) attempt
	giveUp func(attempt) Outcome
}

func realRules() rules {
	return rules{
		next: func(a attempt) step { return a.next() },
		wrote: func(a attempt, answer writeAnswer, base uint64, told *Document) attempt {
			a.sent = slices.Clone(a.sent)
			a.wrote(answer, base, told)
			return a
		},
		giveUp: func(a attempt) Outcome { return a.giveUp("no time left") },
	}
}

// proposer is one operator's attempt in the explored world.
type proposer struct {
	attempt  attempt
	waiting  bool
	base     uint64
	timeouts int
	outcome  *Outcome
	started  bool
	// made is true when the change had been made before the operator sent this proposal.
	made bool
}

// message is a conditional write that may still reach the store.
type message struct {
	from int
	base uint64
	next *Document
}

// world is one state: the store with its past, what is on its way, and the proposers.
type world struct {
	past      []*Document
	flight    []message
	proposers []proposer
	// archive is what the archive has; it is not changed but replaced.
	archive *bucket
	// archiving is true when nodes put the oldest change that they list into the archive.
	archiving bool
	// maxTimeouts is how often each proposer may lose an answer.
	maxTimeouts int
}

func (w *world) clone() *world {
	return &world{
		past: slices.Clone(w.past), flight: slices.Clone(w.flight),
		proposers: slices.Clone(w.proposers), archive: w.archive, archiving: w.archiving, maxTimeouts: w.maxTimeouts,
	}
}

func (w *world) current() *Document {
	if len(w.past) == 0 {
		return nil
	}
	return w.past[len(w.past)-1]
}

func (w *world) version() uint64 { return uint64(len(w.past)) }

func (w *world) key() string {
	var b strings.Builder
	for _, d := range w.past {
		fmt.Fprintf(&b, "%s,", d.Site.Change)
	}
	flight := make([]string, 0, len(w.flight))
	for _, m := range w.flight {
		flight = append(flight, fmt.Sprintf("%d@%d:%s", m.from, m.base, changes(m.next)))
	}
	slices.Sort(flight)
	fmt.Fprintf(&b, "|%v", flight)
	fmt.Fprintf(&b, "|%v", w.archive.Changes)
	for _, p := range w.proposers {
		fmt.Fprintf(&b, "|%v %v", p.started, p.made)
		fmt.Fprintf(&b, " %v", p.attempt.archived)
		if s := p.attempt.search; s != nil {
			fmt.Fprintf(&b, " %d %v", s.at, s.found)
		}
		fmt.Fprintf(&b, " %s %v %v %v %d %d", changes(p.attempt.current), p.attempt.known, p.attempt.sent, p.waiting, p.base, p.timeouts)
		if p.outcome != nil {
			fmt.Fprintf(&b, " %s %d", p.outcome.Kind, p.outcome.Version)
		}
	}
	return b.String()
}

func changes(d *Document) string {
	if d == nil {
		return "-"
	}
	out := ""
	for _, r := range d.Recent {
		out += string(r.Change) + ","
	}
	return out
}

// with returns a copy of the world in which proposer i is changed.
func (w *world) with(i int, change func(*world, *proposer)) *world {
	out := w.clone()
	change(out, &out.proposers[i])
	return out
}

// successors returns every world that is one event away.
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
				out = append(out, w.with(i, func(_ *world, p *proposer) {
					p.waiting = false
					p.timeouts++
					p.attempt = r.wrote(p.attempt, writeLost, p.base, nil)
				}))
			}
			continue
		}
		out = append(out, w.with(i, func(_ *world, p *proposer) { o := r.giveUp(p.attempt); p.outcome = &o }))
		out = append(out, w.steps(i, r)...)
		out = append(out, w.archived(i)...)
	}
	for k := range w.flight {
		out = append(out, w.arrivals(k, r)...)
	}
	return out
}

// steps returns what can come of a proposer's next step.
func (w *world) steps(i int, r rules) []*world {
	s := r.next(w.proposers[i].attempt)
	switch {
	case s.outcome != nil:
		return []*world{w.with(i, func(_ *world, p *proposer) { p.outcome = s.outcome })}
	case s.reread:
		return []*world{w.with(i, func(w *world, p *proposer) { p.attempt.learned(w.current()) })}
	case s.search:
		return []*world{w.with(i, func(w *world, p *proposer) { p.attempt.searched(p.attempt.current.Site.Version, w.archive) })}
	case s.archive != nil:
		return []*world{w.with(i, func(w *world, p *proposer) {
			if w.archive.find(s.archive.Change) == nil {
				w.archive = w.archive.with(*s.archive)
			}
			p.attempt.keptInArchive(s.archive.Change)
		})}
	}
	return []*world{w.with(i, func(w *world, p *proposer) {
		p.waiting, p.base = true, s.base
		w.flight = append(w.flight, message{from: i, base: s.base, next: s.next})
	})}
}

// archived returns the world after a node put the oldest change that it lists into the archive.
func (w *world) archived(i int) []*world {
	a := w.proposers[i].attempt
	if !w.archiving || len(a.current.Recent) < 2 || a.archived[a.current.Recent[0].Change] {
		return nil
	}
	oldest := a.current.archivable(0)
	return []*world{w.with(i, func(w *world, p *proposer) {
		if w.archive.find(oldest.Change) == nil {
			w.archive = w.archive.with(oldest)
		}
		p.attempt.keptInArchive(oldest.Change)
	})}
}

// arrivals returns what can come of a write on its way: it reaches the store, or never does.
func (w *world) arrivals(k int, r rules) []*world {
	m := w.flight[k]
	lost := w.clone()
	lost.flight = slices.Delete(lost.flight, k, k+1)
	arrived := lost.clone()
	answer := writeBeaten
	if m.base == arrived.version() {
		d := *m.next
		d.Site.Version = m.base + 1
		arrived.past = append(arrived.past, &d)
		answer = writeTaken
	}
	p := arrived.proposers[m.from]
	if !p.waiting || p.base != m.base {
		return []*world{lost, arrived}
	}
	answered := arrived.with(m.from, func(w *world, p *proposer) {
		p.waiting = false
		p.attempt = r.wrote(p.attempt, answer, m.base, w.current())
	})
	return []*world{lost, arrived, answered}
}

// fault returns what is wrong with the world, or "".
func (w *world) fault() string {
	seen := make(map[ident.Change]int)
	for i, d := range w.past {
		if seen[d.Site.Change]++; seen[d.Site.Change] > 1 {
			return "a change took effect twice: " + string(d.Site.Change)
		}
		for _, before := range w.past[:i+1] {
			if d.find(before.Site.Change) < 0 && w.archive.find(before.Site.Change) == nil {
				return "a version forgot a change before it"
			}
		}
	}
	for _, p := range w.proposers {
		if p.outcome == nil {
			continue
		}
		change := p.attempt.proposal.Change
		made := slices.IndexFunc(w.past, func(d *Document) bool { return d.Site.Change == change })
		switch {
		case p.outcome.Kind == OutcomeAccepted && (made < 0 || p.outcome.Version != uint64(made+1)):
			return "a false accepted: " + string(change)
		case (p.outcome.Kind == OutcomeRefused || p.outcome.Kind == OutcomeConflict) && made >= 0 && (p.made || w.sentOnce(change)):
			return "a false " + string(p.outcome.Kind) + ": " + string(change)
		}
	}
	return ""
}

// start lets a proposer's operator send the proposal; what the node knows is then
// as old as it was at first.
func (w *world) start(i int) *world {
	return w.with(i, func(w *world, p *proposer) {
		p.started = true
		p.made = slices.ContainsFunc(w.past, func(d *Document) bool { return d.Site.Change == p.attempt.proposal.Change })
	})
}

// sentOnce reports whether a change has one proposer.
func (w *world) sentOnce(change ident.Change) bool {
	n := 0
	for _, p := range w.proposers {
		if p.attempt.proposal.Change == change {
			n++
		}
	}
	return n == 1
}

// explore visits every world that can be reached, and returns their number and the first fault.
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
