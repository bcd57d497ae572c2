package config

// startWorld returns a world with one accepted version, which every proposer knows.
func startWorld(maxTimeouts int, proposals ...Proposal) *world {
	first := attempt{proposal: &Proposal{Change: "first"}, window: MaxRecentChanges}
	d := *first.nextStep().document
	d.Site.Version = 1
	w := &world{versions: []*Document{&d}, archive: &bucket{}, maxTimeouts: maxTimeouts}
	for i := range proposals {
		w.proposers = append(w.proposers, proposer{attempt: attempt{proposal: &proposals[i], window: MaxRecentChanges, current: &d}})
	}
	return w
}

// withNarrowWindow sets the window to one change, so that documents drop archived
// changes. The first change is already archived, so the next version drops it.
func withNarrowWindow(w *world) *world {
	w.archive = w.archive.withChange(archivedChange{Change: "first", Version: 1})
	for i := range w.proposers {
		w.proposers[i].attempt.window = 1
		w.proposers[i].attempt.markArchived("first")
	}
	return w
}

// resentAfterDrop returns a world in which the change again was applied and dropped,
// and is then resent at two nodes, concurrently with another change. One of the two
// nodes knows only the first version.
func resentAfterDrop(again Proposal) *world {
	w := startWorld(1, again, again, setReplicas("b", 0, 2))
	applied := again
	for _, p := range []Proposal{applied, setReplicas("x", 0, 7)} {
		step := attempt{proposal: &p, window: MaxRecentChanges, current: w.current(), fresh: true}
		d := *step.nextStep().document
		d.Site.Version = w.version() + 1
		w.versions = append(w.versions, &d)
	}
	last := w.versions[2]
	for i := range 2 {
		w.archive = w.archive.withChange(last.archivedChangeAt(i))
	}
	last.Recent, last.Dropped = last.Recent[2:], true
	w.proposers[1].attempt.current = last
	w.proposers[2].attempt.current = last
	for i := range w.proposers {
		w.proposers[i].attempt.window = 1
	}
	return w
}

// oneStale returns a world with a second version that adds a model. Only the first of
// two nodes knows it; both receive the same command to remove the model.
func oneStale(add, remove Proposal) *world {
	w := startWorld(1, remove, remove)
	adding := attempt{proposal: &add, window: MaxRecentChanges, current: w.current(), fresh: true}
	d := *adding.nextStep().document
	d.Site.Version = 2
	w.versions = append(w.versions, &d)
	w.proposers[0].attempt.current = &d
	return w
}

// appliedAfterLookup returns a world in which one node has looked up its change in the
// archive just before the change was applied. Documents keep only one change, so that
// two other proposals may drop it.
func appliedAfterLookup() *world {
	w := resentAfterDrop(setReplicas("gone", 0, 1))
	w.archiving, w.maxTimeouts = true, 0
	w.archive = w.archive.withChange(archivedChange{Change: "x", Version: w.version()})
	proposals := []Proposal{setReplicas("a", 0, 1), setReplicas("b", 0, 2), setReplicas("c", 0, 3)}
	w.proposers = nil
	for i := range proposals {
		p := proposer{attempt: attempt{proposal: &proposals[i], window: 1, current: w.current()}}
		p.attempt.markArchived("x")
		w.proposers = append(w.proposers, p)
	}
	w.proposers[0].attempt.recordSearch(w.version(), w.archive)
	applying := w.proposers[0].attempt
	d := *applying.nextStep().document
	d.Site.Version = w.version() + 1
	w.versions = append(w.versions, &d)
	return w
}

// scenarios returns the initial worlds to explore, by name.
func scenarios() map[string]*world {
	add := Proposal{Change: "a", Edits: []Edit{{Table: TableModel, Key: "m9"}}}
	remove := Proposal{Change: "b", Edits: []Edit{{Table: TableModel, Key: "m9", Remove: true}}}
	return map[string]*world{
		"removal at two nodes":                         startWorld(1, add, remove, remove),
		"one node has a stale version":                 oneStale(add, remove),
		"two changes with one base version":            startWorld(2, setReplicas("a", 1, 1), setReplicas("b", 1, 2)),
		"two changes without base version":             startWorld(2, setReplicas("a", 0, 1), setReplicas("b", 0, 2)),
		"one change at two nodes":                      startWorld(1, setReplicas("a", 0, 1), setReplicas("a", 0, 1), setReplicas("b", 1, 2)),
		"one change with base version at two nodes":    startWorld(1, setReplicas("a", 1, 1), setReplicas("a", 1, 1), setReplicas("b", 1, 2)),
		"base version not yet known to the node":       startWorld(2, setReplicas("a", 1, 1), setReplicas("b", 2, 2)),
		"one change at two nodes, dropping others":     withNarrowWindow(startWorld(1, setReplicas("a", 0, 1), setReplicas("a", 0, 1))),
		"resent after it was dropped":                  resentAfterDrop(setReplicas("a", 0, 1)),
		"applied and dropped after the archive lookup": appliedAfterLookup(),
		"resent with a base version that was dropped":  resentAfterDrop(setReplicas("a", 1, 1)),
	}
}
