package config

import (
	"encoding/json"
	"slices"
	"strconv"
)

// writeResult is the result of the conditional write of a proposal.
type writeResult uint8

const (
	// writeApplied means that the write took effect.
	writeApplied writeResult = iota
	// writeConflict means that the object had another version than the write expected.
	writeConflict
	// writeUnknown means that the store did not respond: the write may have taken
	// effect, or may still do so.
	writeUnknown
	// writeNotApplied means that the write has no effect and never will.
	writeNotApplied
)

// step is the next action of an attempt: return outcome, read the current document
// (reread), look up the proposal's change in the archive (search), store another
// change in the archive (archive), or write document with base version base.
type step struct {
	outcome  *Outcome
	reread   bool
	search   bool
	archive  *archivedChange
	document *Document
	base     uint64
}

// nextStep returns the next action. The order of the checks matters: a change that
// was already applied is recognised before anything else is decided.
func (a *attempt) nextStep() step {
	current := a.current
	if current == nil {
		current = &Document{}
	}
	p := a.proposal
	if i := current.find(p.Change); i >= 0 {
		return outcomeOfListed(current, p, i)
	}
	if a.search != nil && a.search.found != nil {
		return outcomeOfArchived(p, a.search.found)
	}
	version := current.Site.Version
	if version < p.BaseVersion {
		return step{reread: true} // the known document is older than the one the operator saw
	}
	for _, base := range a.unconfirmed {
		if version < base {
			return step{reread: true}
		}
	}
	if !a.isDropDecided(current) {
		return step{search: true}
	}
	if a.search != nil && a.search.evicted && (p.BaseVersion == 0 || !current.listsAllSince(p.BaseVersion)) {
		return reportOutcome(Outcome{Kind: OutcomeUnknown, Change: p.Change, Reason: "the oldest changes are forgotten, and it may be one of them; a new command with --base-version can be told"})
	}
	if p.BaseVersion != 0 && p.BaseVersion != version {
		return reportOutcome(conflictOutcome(current, p))
	}
	// Repeating an unconfirmed write with the same base version is safe: at most one can take effect.
	s := a.buildDocument(current)
	if s.outcome != nil && !a.fresh {
		return step{reread: true} // a stale document may refuse a change that a later one already contains
	}
	return s
}

// finalOutcome returns the outcome to report when time has run out. The last response
// may have arrived just in time to decide it. Otherwise the outcome is unknown, even if
// this node sent no write: another node may have sent the same change before.
func (a *attempt) finalOutcome(reason string) Outcome {
	if s := a.nextStep(); s.outcome != nil {
		return *s.outcome
	}
	return Outcome{Kind: OutcomeUnknown, Change: a.proposal.Change, Reason: reason}
}

// outcomeOfListed returns the outcome of a change that the document already lists. It
// is refused when the ID was used for different edits.
func outcomeOfListed(current *Document, p *Proposal, i int) step {
	if current.Recent[i].Digest != p.digest() {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: "a new ID; this one made: " + current.Recent[i].Summary}
		return reportOutcome(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}})
	}
	return reportOutcome(Outcome{Kind: OutcomeAccepted, Change: p.Change, Version: current.versionOf(i)})
}

// outcomeOfArchived returns the outcome of a change that is in the archive. It is
// refused when the ID was used for different edits.
func outcomeOfArchived(p *Proposal, found *archivedChange) step {
	if found.Digest != p.digest() {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: "a new ID; another command under it made version " + strconv.FormatUint(found.Version, 10)}
		return reportOutcome(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}})
	}
	return reportOutcome(Outcome{Kind: OutcomeAccepted, Change: p.Change, Version: found.Version})
}

// conflictOutcome returns a conflict with the changes made since the proposal's base
// version, as far as current lists them.
func conflictOutcome(current *Document, p *Proposal) Outcome {
	out := Outcome{Kind: OutcomeConflict, Change: p.Change, ConflictingChanges: current.changesSince(p.BaseVersion)}
	if !current.listsAllSince(p.BaseVersion) {
		out.Reason = "only the latest of the changes that came first are listed"
	}
	return out
}

// buildDocument returns the step that writes the proposed document, or refuses the
// proposal. Changes beyond the window are dropped from the document once they are
// archived. When the document would exceed maxWindowFactor windows, the returned step
// archives the oldest change first.
func (a *attempt) buildDocument(current *Document) step {
	p := a.proposal
	site := cloneSite(&current.Site)
	var faults []Fault
	for _, e := range p.Edits {
		faults = append(faults, e.apply(site)...)
	}
	if len(faults) == 0 {
		faults = Validate(site)
	}
	if len(faults) > 0 {
		return reportOutcome(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: faults})
	}
	site.Change = p.Change
	setDrainChanges(site, p.Change)
	next := &Document{Site: *site, Dropped: current.Dropped}
	next.Recent = append(next.Recent, current.Recent...)
	next.Recent = append(next.Recent, ChangeRecord{Change: p.Change, Base: current.Site.Version, Digest: p.digest(), Summary: p.summary()})
	for len(next.Recent) > a.window && a.archived[next.Recent[0].Change] {
		next.Recent, next.Dropped = next.Recent[1:], true
	}
	if len(next.Recent) > maxWindowFactor*a.window {
		oldest := next.archivedChangeAt(0)
		return step{archive: &oldest}
	}
	if fault := checkSize(next); fault != nil {
		return reportOutcome(Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{*fault}})
	}
	return step{document: next, base: current.Site.Version}
}

// checkSize returns a fault when a document is too large for the store.
func checkSize(d *Document) *Fault {
	data, err := json.Marshal(d)
	if err == nil && len(data) <= MaxDocumentBytes {
		return nil
	}
	return &Fault{Path: "site", Value: strconv.Itoa(len(data)) + " bytes", Allowed: "a configuration of at most " + strconv.Itoa(MaxDocumentBytes) + " bytes"}
}

// staticFaults returns the faults of a proposal that do not depend on the current document.
func staticFaults(p *Proposal) []Fault {
	site := new(Site)
	var faults []Fault
	for _, e := range p.Edits {
		if !e.Remove {
			faults = append(faults, e.apply(site)...)
		}
	}
	if len(faults) == 0 {
		faults = Validate(site)
	}
	if len(faults) > 0 {
		return faults
	}
	if slices.ContainsFunc(p.Edits, func(e Edit) bool { return e.Remove }) {
		return nil
	}
	// Without removals a document holds at least what the edits put in.
	if fault := checkSize(&Document{Site: *site}); fault != nil {
		return []Fault{*fault}
	}
	return nil
}

// reportOutcome returns a step that ends the attempt with outcome o.
func reportOutcome(o Outcome) step { return step{outcome: &o} }
