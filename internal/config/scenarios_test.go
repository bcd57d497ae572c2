package config

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
