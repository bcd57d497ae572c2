package config

import "slices"

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
// again, or write next over version base.
type step struct {
	outcome *Outcome
	reread  bool
	next    *Document
	base    uint64
}

// attempt is a proposal on its way. Its methods are pure.
type attempt struct {
	proposal *Proposal
	// current is the latest document that was heard of, or nil for none.
	current *Document
	// known is true when current came with an answer to a conditional write, which is never old.
	known bool
	// sent are the versions that the proposal was written over without an answer.
	sent []uint64
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
	version := current.Site.Version
	if version < p.BaseVersion {
		return step{reread: true} // what was heard of is older than what the operator saw
	}
	for _, base := range a.sent {
		if version < base {
			return step{reread: true}
		}
		if version > base && !current.reaches(base) {
			return report(Outcome{Kind: OutcomeUnknown, Change: p.Change, Reason: "too many changes were made since it was sent"})
		}
	}
	if p.BaseVersion != 0 && p.BaseVersion != version {
		if !current.reaches(p.BaseVersion) {
			return report(Outcome{Kind: OutcomeUnknown, Change: p.Change, Reason: "too many changes were made since its base version"})
		}
		return report(Outcome{Kind: OutcomeConflict, Change: p.Change, Won: current.since(p.BaseVersion)})
	}
	// A write over a version that it was already sent over is the same write again.
	s := build(current, p)
	if s.outcome != nil && !a.known {
		return step{reread: true} // an older document may refuse what a later one has already taken
	}
	return s
}

// learned takes in the document as the store has it now; nil for none.
func (a *attempt) learned(d *Document) {
	a.known = true
	a.heard(d)
}

// heard takes in a document; what is older than one heard before is dropped.
func (a *attempt) heard(d *Document) {
	if d == nil || (a.current != nil && d.Site.Version < a.current.Site.Version) {
		return
	}
	a.current = d
}

// wrote takes in the store's answer to a write over base; told is the document
// that the answer carried, or nil.
func (a *attempt) wrote(answer writeAnswer, base uint64, told *Document) {
	if answer == writeLost && !slices.Contains(a.sent, base) {
		a.sent = append(a.sent, base)
	}
	if told != nil {
		a.learned(told)
	}
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

// build makes the document that the proposal asks for.
func build(current *Document, p *Proposal) step {
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
	recent := append([]ChangeRecord(nil), current.Recent...)
	recent = append(recent, ChangeRecord{Change: p.Change, Base: current.Site.Version, Digest: p.digest(), Summary: p.summary()})
	if len(recent) > MaxRecentChanges {
		recent = recent[len(recent)-MaxRecentChanges:]
	}
	return step{next: &Document{Site: *site, Recent: recent}, base: current.Site.Version}
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
