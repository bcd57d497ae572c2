package config

import (
	"maps"
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

// attempt is a proposal on its way. Its methods are pure.
type attempt struct {
	proposal *Proposal
	// window is how many changes a document keeps before it drops archived ones.
	window int
	// current is the latest document that was heard of, or nil for none.
	current *Document
	// known is true when current came with an answer to a conditional write, which is never old.
	known bool
	// sent are the versions that the proposal was written over without an answer.
	sent []uint64
	// archived are changes that are surely in the archive.
	archived map[ident.Change]bool
	// search is what the archive said of the proposal's change; nil before it was asked.
	search *searchResult
}

// searchResult is what the archive said of a change.
type searchResult struct {
	// at is a version that had been made before the archive was asked.
	at uint64
	// found is the change, or nil when the archive does not have it.
	found *archivedChange
	// forgot is true when the archive may have had it once.
	forgot bool
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

// searched takes in what the archive said; at is a version made before it was asked.
func (a *attempt) searched(at uint64, b *bucket) {
	a.search = &searchResult{at: at, found: b.find(a.proposal.Change), forgot: b.Forgot}
}

// keptInArchive notes that a change is in the archive.
func (a *attempt) keptInArchive(change ident.Change) {
	a.archived = maps.Clone(a.archived)
	if a.archived == nil {
		a.archived = make(map[ident.Change]bool)
	}
	a.archived[change] = true
}

// isSettled reports whether it is known if the change is among those that current
// has dropped. A change with a base version is made on that version only. A search
// settles it for the versions before; those after must still be listed.
func (a *attempt) isSettled(current *Document) bool {
	base := a.proposal.BaseVersion
	if !current.Dropped || (base != 0 && current.reaches(base)) {
		return true
	}
	return a.search != nil && current.reaches(a.search.at)
}
