package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

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

// startWorld has one accepted version, which every proposer has heard of.
func startWorld(maxTimeouts int, proposals ...Proposal) *world {
	first := attempt{proposal: &Proposal{Change: "first"}, window: MaxRecentChanges}
	d := *first.next().next
	d.Site.Version = 1
	w := &world{past: []*Document{&d}, archive: &bucket{}, maxTimeouts: maxTimeouts}
	for i := range proposals {
		w.proposers = append(w.proposers, proposer{attempt: attempt{proposal: &proposals[i], window: MaxRecentChanges, current: &d}})
	}
	return w
}

// narrow lets documents keep one change, and so drop what is in the archive; the
// first version is there already, so that the next one drops it.
func narrow(w *world) *world {
	w.archive = w.archive.with(archivedChange{Change: "first", Version: 1})
	for i := range w.proposers {
		w.proposers[i].attempt.window = 1
		w.proposers[i].attempt.keptInArchive("first")
	}
	return w
}

// dropped is a world in which change a was made and dropped, and is then sent again
// beside two others; one node has not heard of anything since the first version.
func dropped(again Proposal) *world {
	w := startWorld(1, again, again, setReplicas("b", 0, 2))
	made := again
	for _, p := range []Proposal{made, setReplicas("x", 0, 7)} {
		step := attempt{proposal: &p, window: MaxRecentChanges, current: w.current(), known: true}
		d := *step.next().next
		d.Site.Version = w.version() + 1
		w.past = append(w.past, &d)
	}
	last := w.past[2]
	for i := range 2 {
		w.archive = w.archive.with(last.archivable(i))
	}
	last.Recent, last.Dropped = last.Recent[2:], true
	w.proposers[1].attempt.current = last
	w.proposers[2].attempt.current = last
	for i := range w.proposers {
		w.proposers[i].attempt.window = 1
	}
	return w
}

// oneBehind has a second version that adds a model, of which only the first of two
// nodes has heard; both are sent the same command to remove it.
func oneBehind(add, remove Proposal) *world {
	w := startWorld(1, remove, remove)
	adding := attempt{proposal: &add, window: MaxRecentChanges, current: w.current(), known: true}
	d := *adding.next().next
	d.Site.Version = 2
	w.past = append(w.past, &d)
	w.proposers[0].attempt.current = &d
	return w
}

// overtaken is a world in which one node has asked the archive for a change, while
// another made it; documents keep one change only, so that two others may drop it.
func overtaken() *world {
	w := dropped(setReplicas("gone", 0, 1))
	w.archiving, w.maxTimeouts = true, 0
	w.archive = w.archive.with(archivedChange{Change: "x", Version: w.version()})
	proposals := []Proposal{setReplicas("a", 0, 1), setReplicas("b", 0, 2), setReplicas("c", 0, 3)}
	w.proposers = nil
	for i := range proposals {
		p := proposer{attempt: attempt{proposal: &proposals[i], window: 1, current: w.current()}}
		p.attempt.keptInArchive("x")
		w.proposers = append(w.proposers, p)
	}
	w.proposers[0].attempt.searched(w.version(), w.archive)
	making := w.proposers[0].attempt
	d := *making.next().next
	d.Site.Version = w.version() + 1
	w.past = append(w.past, &d)
	return w
}

func scenarios() map[string]*world {
	add := Proposal{Change: "a", Edits: []Edit{{Table: TableModel, Key: "m9"}}}
	remove := Proposal{Change: "b", Edits: []Edit{{Table: TableModel, Key: "m9", Remove: true}}}
	return map[string]*world{
		"removed at two nodes":                 startWorld(1, add, remove, remove),
		"one node is behind":                   oneBehind(add, remove),
		"two on one version":                   startWorld(2, setReplicas("a", 1, 1), setReplicas("b", 1, 2)),
		"two on any version":                   startWorld(2, setReplicas("a", 0, 1), setReplicas("b", 0, 2)),
		"one sent at two nodes":                startWorld(1, setReplicas("a", 0, 1), setReplicas("a", 0, 1), setReplicas("b", 1, 2)),
		"one sent at two nodes on one version": startWorld(1, setReplicas("a", 1, 1), setReplicas("a", 1, 1), setReplicas("b", 1, 2)),
		"base not yet heard":                   startWorld(2, setReplicas("a", 1, 1), setReplicas("b", 2, 2)),
		"one sent at two nodes, dropping":      narrow(startWorld(1, setReplicas("a", 0, 1), setReplicas("a", 0, 1))),
		"sent again after it was dropped":      dropped(setReplicas("a", 0, 1)),
		"made and dropped behind one's back":   overtaken(),
		"sent again on a version long gone":    dropped(setReplicas("a", 1, 1)),
	}
}

func TestExplorationOfAChangeWithLostAnswers(t *testing.T) {
	for name, start := range scenarios() {
		states, fault := explore(start, realRules())
		t.Logf("%s: %d states", name, states)
		require.Empty(t, fault, name)
		require.Less(t, states, maxExplored)
	}
}

func TestExplorationCatchesPlantedFaults(t *testing.T) {
	variants := map[string]func(*rules){
		"a lost answer told as refused": func(r *rules) {
			giveUp := r.giveUp
			r.giveUp = func(a attempt) Outcome {
				if o := giveUp(a); o.Kind != OutcomeUnknown || len(a.sent) == 0 {
					return o
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a refusal told on an old document": func(r *rules) {
			next := r.next
			r.next = func(a attempt) step {
				a.known = true
				return next(a)
			}
		},
		"a lost answer taken for accepted": func(r *rules) {
			r.giveUp = func(a attempt) Outcome {
				if len(a.sent) > 0 {
					return Outcome{Kind: OutcomeAccepted, Version: a.sent[0] + 1}
				}
				return a.giveUp("")
			}
		},
		"a conflict told without looking for the change ID": func(r *rules) {
			next := r.next
			r.next = func(a attempt) step {
				s := next(a)
				if s.outcome != nil && s.outcome.Kind == OutcomeAccepted && len(a.sent) > 0 {
					return report(Outcome{Kind: OutcomeConflict})
				}
				return s
			}
		},
		"an answer that came just in time not looked at": func(r *rules) {
			r.giveUp = func(a attempt) Outcome {
				if len(a.sent) > 0 {
					return Outcome{Kind: OutcomeUnknown}
				}
				return Outcome{Kind: OutcomeRefused}
			}
		},
		"a change made again on the next version": func(r *rules) {
			r.next = func(a attempt) step {
				if a.current.find(a.proposal.Change) >= 0 && len(a.sent) > 0 {
					return a.build(a.current)
				}
				return a.next()
			}
		},
		"the archive not asked": func(r *rules) {
			r.next = func(a attempt) step {
				s := a.next()
				if s.search {
					return a.build(a.current)
				}
				return s
			}
		},
		"an old search taken for a new one": func(r *rules) {
			r.next = func(a attempt) step {
				if s := a.next(); !s.search || a.search == nil {
					return s
				}
				return a.build(a.current)
			}
		},
		"a change dropped before it is in the archive": func(r *rules) {
			r.next = func(a attempt) step {
				for _, change := range a.current.Recent {
					a.keptInArchive(change.Change)
				}
				return a.next()
			}
		},
	}
	for name, plant := range variants {
		r := realRules()
		plant(&r)
		found := ""
		for _, start := range scenarios() {
			if _, fault := explore(start, r); fault != "" {
				found = fault
				break // one scenario that shows it is enough
			}
		}
		require.NotEmpty(t, found, name)
		t.Logf("%s: caught: %s", name, found)
	}
}

func TestADroppedChangeIsLookedForInTheArchive(t *testing.T) {
	p := setReplicas("a", 0, 1)
	d := &Document{Site: Site{Version: 500}, Dropped: true}
	for i := range MaxRecentChanges {
		d.Recent = append(d.Recent, ChangeRecord{Change: ident.Change(fmt.Sprint(i)), Base: uint64(500 - MaxRecentChanges + i)})
	}
	settle := func(change archivedChange, forgot bool) Outcome {
		a := attempt{proposal: &p, window: MaxRecentChanges, current: d, known: true, sent: []uint64{3}}
		require.True(t, a.next().search)
		a.searched(500, &bucket{Changes: []archivedChange{change}, Forgot: forgot})
		if s := a.next(); s.outcome != nil {
			return *s.outcome
		}
		return Outcome{}
	}
	require.Equal(t, Outcome{Kind: OutcomeAccepted, Change: "a", Version: 4}, settle(archivedChange{Change: "a", Digest: p.digest(), Version: 4}, false))
	require.Equal(t, OutcomeRefused, settle(archivedChange{Change: "a", Digest: 1, Version: 4}, false).Kind)
	require.Empty(t, settle(archivedChange{Change: "b"}, false).Kind, "it was never made, and can be")
	require.Equal(t, OutcomeUnknown, settle(archivedChange{Change: "b"}, true).Kind)

	based := setReplicas("a", 500-MaxRecentChanges, 1)
	a := attempt{proposal: &based, window: MaxRecentChanges, current: d, known: true}
	require.Len(t, a.next().outcome.Won, MaxRecentChanges, "all changes since are listed, and the archive need not be asked")
	based.BaseVersion--
	require.True(t, a.next().search)
	a.searched(500, &bucket{})
	require.Equal(t, OutcomeConflict, a.next().outcome.Kind)
	require.Contains(t, a.next().outcome.Reason, "only the latest")
}
