package config

import (
	"maps"
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

// attempt is the state of a proposal that is being processed. Its methods do no I/O.
type attempt struct {
	proposal *Proposal
	// window is the number of changes that a document keeps before it drops archived ones.
	window int
	// current is the latest known document, or nil when none is known.
	current *Document
	// fresh is true once current was set from the response to a conditional write, which is never stale.
	fresh bool
	// unconfirmed are the base versions of writes of this proposal whose result is unknown.
	unconfirmed []uint64
	// archived are changes that are known to be in the archive.
	archived map[ident.Change]bool
	// search is the result of looking up the proposal's change in the archive; nil before the lookup.
	search *searchResult
}

// searchResult is the result of looking up a change in the archive.
type searchResult struct {
	// version is a configuration version that existed before the archive was read.
	version uint64
	// found is the record of the change, or nil when the archive does not contain it.
	found *archivedChange
	// evicted is true when the archive may have contained the change and evicted it.
	evicted bool
}

// updateFresh sets the document that the store has now; nil when there is none.
func (a *attempt) updateFresh(d *Document) {
	a.fresh = true
	a.update(d)
}

// update sets the current document, unless d is older than the known one.
func (a *attempt) update(d *Document) {
	if d == nil || (a.current != nil && d.Site.Version < a.current.Site.Version) {
		return
	}
	a.current = d
}

// recordWrite records the result of a write with base version base. returned is the
// document in the store's response, or nil.
func (a *attempt) recordWrite(result writeResult, base uint64, returned *Document) {
	if result == writeUnknown && !slices.Contains(a.unconfirmed, base) {
		a.unconfirmed = append(a.unconfirmed, base)
	}
	if returned != nil {
		a.updateFresh(returned)
	}
}

// recordSearch records the result of an archive lookup; version existed before the
// archive was read.
func (a *attempt) recordSearch(version uint64, b *bucket) {
	a.search = &searchResult{version: version, found: b.find(a.proposal.Change), evicted: b.Evicted}
}

// markArchived records that a change is in the archive.
func (a *attempt) markArchived(change ident.Change) {
	a.archived = maps.Clone(a.archived)
	if a.archived == nil {
		a.archived = make(map[ident.Change]bool)
	}
	a.archived[change] = true
}

// isDropDecided reports whether it is known if the proposal's change is among those
// that were dropped from current. A change with a base version can only have been
// applied to that version, so it is enough that current lists the changes since then.
// Otherwise the archive lookup decides for versions up to search.version, and current
// must list all later changes.
func (a *attempt) isDropDecided(current *Document) bool {
	base := a.proposal.BaseVersion
	if !current.Dropped || (base != 0 && current.listsAllSince(base)) {
		return true
	}
	return a.search != nil && current.listsAllSince(a.search.version)
}
