package config

import (
	"encoding/json"
	"strconv"
)

// writeAnswer is what the store said to the conditional write of a proposal.
type writeAnswer uint8

const (
	// writeTaken means that the write took effect.
	writeTaken writeAnswer = iota
	// writeBeaten means that the object had another version, which is told.
	writeBeaten
	// writeLost means that there was no answer: the write may have taken effect,
	// or may still do so.
	writeLost
	// writeUnsent means that the write certainly has no effect.
	writeUnsent
)

// step is what to do next with a proposal: report outcome, read the document
// again, ask the archive for the change, put another change into the archive, or
// write next over version base.
type step struct {
	outcome *Outcome
	reread  bool
	search  bool
	archive *archivedChange
	next    *Document
	base    uint64
}

// next says what to do now.
func (a *attempt) next() step {
	current := a.current
	if current == nil {
		current = &Document{}
	}
	p := a.proposal
	if i := current.find(p.Change); i >= 0 {
		return decideKnown(current, p, i)
	}
	if a.search != nil && a.search.found != nil {
		return decideArchived(p, a.search.found)
	}
	version := current.Site.Version
	if version < p.BaseVersion {
		return step{reread: true} // what was heard of is older than what the operator saw
	}
	for _, base := range a.sent {
		if version < base {
			return step{reread: true}
		}
	}
	if !a.isSettled(current) {
		return step{search: true}
	}
	if a.search != nil && a.search.forgot && (p.BaseVersion == 0 || !current.reaches(p.BaseVersion)) {
		return report(Outcome{Kind: OutcomeUnknown, Change: p.Change, Reason: "the oldest changes are forgotten, and it may be one of them; a new command with --base-version can be told"})
	}
	if p.BaseVersion != 0 && p.BaseVersion != version {
		return report(conflict(current, p))
	}
	// A write over a version that it was already sent over is the same write again.
	s := a.build(current)
	if s.outcome != nil && !a.known {
		return step{reread: true} // an older document may refuse what a later one has already taken
	}
	return s
}

// giveUp is what the operator may be told when there is no time left. The last
// answer may have come just in time, and decides when it does. Otherwise the
// outcome is unknown even if nothing was sent from here: the same change may have
// been sent before, by another node.
func (a *attempt) giveUp(reason string) Outcome {
	if s := a.next(); s.outcome != nil {
		return *s.outcome
	}
	return Outcome{Kind: OutcomeUnknown, Change: a.proposal.Change, Reason: reason}
}

// decideKnown answers for a change that is already in the document.
func decideKnown(current *Document, p *Proposal, i int) step {
	if current.Recent[i].Digest != p.digest() {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: "a new ID; this one made: " + current.Recent[i].Summary}
		return report(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}})
	}
	return report(Outcome{Kind: OutcomeAccepted, Change: p.Change, Version: current.versionOf(i)})
}

// decideArchived answers for a change that is in the archive.
func decideArchived(p *Proposal, found *archivedChange) step {
	if found.Digest != p.digest() {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: "a new ID; another command under it made version " + strconv.FormatUint(found.Version, 10)}
		return report(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}})
	}
	return report(Outcome{Kind: OutcomeAccepted, Change: p.Change, Version: found.Version})
}

// conflict names the changes that came first, as far as current lists them.
func conflict(current *Document, p *Proposal) Outcome {
	out := Outcome{Kind: OutcomeConflict, Change: p.Change, Won: current.since(p.BaseVersion)}
	if !current.reaches(p.BaseVersion) {
		out.Reason = "only the latest of the changes that came first are listed"
	}
	return out
}

// build makes the document that the proposal asks for, without the oldest changes
// that the archive has. When too many are not there yet, the oldest is to go there first.
func (a *attempt) build(current *Document) step {
	p := a.proposal
	site := clone(&current.Site)
	var faults []Fault
	for _, e := range p.Edits {
		faults = append(faults, e.apply(site)...)
	}
	if len(faults) == 0 {
		faults = Validate(site)
	}
	if len(faults) > 0 {
		return report(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: faults})
	}
	site.Change = p.Change
	nameDrains(site, p.Change)
	next := &Document{Site: *site, Dropped: current.Dropped}
	next.Recent = append(next.Recent, current.Recent...)
	next.Recent = append(next.Recent, ChangeRecord{Change: p.Change, Base: current.Site.Version, Digest: p.digest(), Summary: p.summary()})
	for len(next.Recent) > a.window && a.archived[next.Recent[0].Change] {
		next.Recent, next.Dropped = next.Recent[1:], true
	}
	if len(next.Recent) > maxWindows*a.window {
		oldest := next.archivable(0)
		return step{archive: &oldest}
	}
	if fault := tooLarge(next); fault != nil {
		return report(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{*fault}})
	}
	return step{next: next, base: current.Site.Version}
}

// tooLarge returns a fault when the store can't hold a document.
func tooLarge(d *Document) *Fault {
	data, err := json.Marshal(d)
	if err == nil && len(data) <= MaxDocumentBytes {
		return nil
	}
	return &Fault{Path: "site", Value: strconv.Itoa(len(data)) + " bytes", Allowed: "a configuration of at most " + strconv.Itoa(MaxDocumentBytes) + " bytes"}
}

// everRefused returns what is wrong with a proposal whatever the document is.
func everRefused(p *Proposal) []Fault {
	site := new(Site)
	var faults []Fault
	for _, e := range p.Edits {
		if !e.Remove {
			faults = append(faults, e.apply(site)...)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return Validate(site)
}

func report(o Outcome) step { return step{outcome: &o} }
