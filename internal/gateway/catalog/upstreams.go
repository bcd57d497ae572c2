package catalog

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// outageAfter is how long after the last contact the store counts as unavailable. A watch
	// gets a response every second.
	outageAfter = 1600 * time.Millisecond
	// expiryWindow is the time after the store's return in which missing entries are assumed to
	// have expired during the outage. Entries removed later were removed by their upstreams.
	expiryWindow = 500 * time.Millisecond
	// reregistrationGrace is how long after the store's return an expired entry is still used:
	// live upstreams register again within about two seconds.
	reregistrationGrace = 2200 * time.Millisecond
)

// DecodeUpstream decodes the entry of an upstream.
type DecodeUpstream func(objects.Object) (site.Upstream, error)

// View is an immutable snapshot of the upstreams.
type View struct {
	// ByService lists the upstreams that may take requests by service, ordered by ID.
	ByService map[string][]site.Upstream
	// All holds every known upstream by ID, including draining ones.
	All map[string]site.Upstream
}

// Upstreams tracks the upstream entries in the store.
type Upstreams struct {
	decode DecodeUpstream
	logger *slog.Logger
	now    func() time.Time
	// ReachableByPeers reports whether other nodes reach the store. If they do, the store was
	// not unavailable and no entry expired. Nil means never.
	ReachableByPeers func() bool

	mu          sync.Mutex
	entries     map[string]*entry
	lastContact time.Time
	// currentAt is the last time at which all changes in the store were known here.
	currentAt time.Time
	// failedAt is when a call of this node to the store last failed, and outages how many outages
	// were seen.
	failedAt time.Time
	outages  int64
	// storeVersion is the version of the store up to which all changes are included.
	storeVersion objects.Version
	// storeReturnedAt is when the store last answered again after an outage.
	storeReturnedAt time.Time
	// eraChangedAt is when the store was last found in a later era.
	eraChangedAt time.Time
	view         atomic.Pointer[View]
	// removed holds the upstreams that were removed, by ID, so that an older copy of the store does
	// not bring them back.
	removed map[string]removal
	// sequence counts the changes; changes holds the latest ones for nodes that follow this one.
	sequence uint64
	changes  []change
}

// minKeptChanges is the least number of changes that are kept for nodes that follow this one. A
// node that is further behind gets all entries.
const minKeptChanges = 512

// noEntry stands in place of an entry's name in a change of something that is sent along with the
// entries.
const noEntry = ""

// change is the addition, update or removal of an entry.
type change struct {
	sequence uint64
	name     string
}

type entry struct {
	object   objects.Object
	upstream site.Upstream
	// usable is false for an entry that could not be decoded.
	usable bool
	// missingSince is when the entry was found missing after the store's return; zero otherwise.
	missingSince time.Time
	// heldUntil is set for the entry of an upstream that was removed before the store came back from
	// an older copy: until then its removal may be repeated.
	heldUntil time.Time
	// reportedAfter is a time before the store accepted the last change of the entry, and drainingAfter
	// one before it accepted the change to draining; zero if unknown.
	reportedAfter, drainingAfter time.Time
}

// NewUpstreams returns an empty catalog of upstreams.
func NewUpstreams(decode DecodeUpstream, logger *slog.Logger, now func() time.Time) *Upstreams {
	u := &Upstreams{decode: decode, logger: logger, now: now, entries: make(map[string]*entry), removed: make(map[string]removal)}
	u.view.Store(&View{})
	return u
}

// View returns the current snapshot.
func (u *Upstreams) View() *View { return u.view.Load() }

// RecordContact records that the store answered, and that all changes up to the version were
// received.
func (u *Upstreams) RecordContact(version objects.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateContact()
	u.currentAt = u.lastContact
	u.storeVersion = max(u.storeVersion, version)
}

// RecordPeerContact records that a node that this one follows had contact with the store, age ago.
func (u *Upstreams) RecordPeerContact(age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := u.now().Add(-age)
	if at.After(u.lastContact) {
		u.lastContact = at
	}
	if at.After(u.currentAt) {
		u.currentAt = at
	}
}

// RecordFailure records that a call of this node to the store was not answered.
func (u *Upstreams) RecordFailure() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failedAt = u.now()
}

// updateContact records a contact with the store and detects the end of an outage. A gap in which
// this node made no call that failed is no outage: the nodes that it followed may have ended. u.mu
// must be held.
func (u *Upstreams) updateContact() {
	now := u.now()
	if !u.lastContact.IsZero() && now.Sub(u.lastContact) > outageAfter {
		elsewhere := u.ReachableByPeers != nil && u.ReachableByPeers()
		failed := u.failedAt.After(u.lastContact)
		if failed && !elsewhere {
			u.storeReturnedAt = now
			u.outages++
		}
		u.logger.Warn("store answers again", "away", now.Sub(u.lastContact), "calls_failed", failed, "reachable_elsewhere", elsewhere)
	}
	u.lastContact = now
}

// Outages returns the number of outages of the store that this node has seen the end of.
func (u *Upstreams) Outages() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.outages
}

// Age returns the time since the last known contact with the store, by this node or by one that it
// follows.
func (u *Upstreams) Age() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now().Sub(u.lastContact)
}

// Put adds or updates an entry.
func (u *Upstreams) Put(object objects.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateContact()
	if u.put(object) {
		u.publish()
	}
}

// put adds or updates an entry unless the known one is at least as new, and reports whether it did.
// u.mu must be held.
func (u *Upstreams) put(object objects.Object) bool {
	known := u.entries[object.Metadata.Name]
	if known != nil && known.missingSince.IsZero() && object.Metadata.ResourceVersion <= known.object.Metadata.ResourceVersion {
		return false
	}
	upstream, err := u.decode(object)
	if err != nil {
		u.logger.Warn("upstream entry ignored", "upstream", object.Metadata.Name, "error", err)
	}
	next := &entry{object: object, upstream: upstream, usable: err == nil}
	switch {
	case known != nil:
		next.keepNewer(known)
	case u.isRemoved(next):
		u.logger.Info("entry of a removed upstream held back", "upstream", object.Metadata.Name, "version", object.Metadata.ResourceVersion)
		next.usable, next.heldUntil = false, u.now().Add(removedHoldTime)
	}
	next.recordReport(known, u.currentAt)
	u.entries[object.Metadata.Name] = next
	u.recordChange(object.Metadata.Name)
	if known == nil || known.usable != next.usable || known.upstream != next.upstream {
		u.logger.Info("upstream", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address.String(),
			"draining", upstream.Draining, "usable", next.usable, "version", object.Metadata.ResourceVersion)
	}
	return true
}

// Remove handles the removal of an entry from the store.
func (u *Upstreams) Remove(object objects.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateContact()
	if u.handleMissing(object.Metadata.Name) {
		u.publish()
	}
}

// Replace replaces all entries by those of a list.
func (u *Upstreams) Replace(list objects.List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updateContact()
	u.updateEra(list.Metadata.ResourceVersion)
	listed := make(map[string]bool, len(list.Items))
	for _, object := range list.Items {
		listed[object.Metadata.Name] = true
		u.put(object)
	}
	for name := range u.entries {
		if !listed[name] && !u.keepsUnlisted(name) {
			u.handleMissing(name)
		}
	}
	u.storeVersion = max(u.storeVersion, list.Metadata.ResourceVersion)
	u.publish()
}

// handleMissing removes an entry that is no longer in the store, and reports whether it did. An
// entry that expired while the store was unavailable is kept for a short time, unless it was
// draining.
func (u *Upstreams) handleMissing(name string) bool {
	e := u.entries[name]
	if e == nil {
		return false
	}
	now := u.now()
	if e.usable && !e.upstream.Draining && !u.storeReturnedAt.IsZero() && now.Sub(u.storeReturnedAt) < expiryWindow {
		e.missingSince = now
		u.logger.Info("upstream entry expired while the store was unavailable", "upstream", name)
		return false
	}
	u.remove(name)
	return true
}

// remove deletes an entry and records the change.
func (u *Upstreams) remove(name string) {
	u.logger.Info("upstream gone", "upstream", name)
	u.recordRemoval(name)
	delete(u.entries, name)
	u.recordChange(name)
}

// recordChange records that an entry was added, updated or removed, and drops the oldest changes.
func (u *Upstreams) recordChange(name string) {
	u.sequence++
	u.changes = append(u.changes, change{sequence: u.sequence, name: name})
	if len(u.changes) > 2*minKeptChanges {
		u.changes = slices.Clone(u.changes[len(u.changes)-minKeptChanges:])
	}
}

// Touch makes the nodes that follow this one fetch an update though no entry has changed.
func (u *Upstreams) Touch() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordChange(noEntry)
}

// RemoveExpired removes expired entries that were not registered again after the store's return.
func (u *Upstreams) RemoveExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forgetRemovals()
	if u.releaseHeld() {
		u.publish()
	}
	if u.storeReturnedAt.IsZero() || u.now().Sub(u.storeReturnedAt) < reregistrationGrace {
		return
	}
	removed := false
	for name, e := range u.entries {
		if !e.missingSince.IsZero() {
			u.remove(name)
			removed = true
		}
	}
	if removed {
		u.publish()
	}
}

// Update is what changed at a node since another node last followed it.
type Update struct {
	// Sequence is the number of the last change included.
	Sequence uint64 `json:"sequence"`
	// StoreVersion is the version of the store up to which all changes are included in this
	// update or earlier ones.
	StoreVersion objects.Version `json:"reached"`
	// Full updates hold all entries; entries that are not included no longer exist.
	Full    bool             `json:"whole,omitempty"`
	Entries []objects.Object `json:"entries,omitempty"`
	Removed []string         `json:"gone,omitempty"`
}

// StoreVersion returns the version of the store up to which all changes are included.
func (u *Upstreams) StoreVersion() objects.Version {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.storeVersion
}

// Sequence returns the number of the last change.
func (u *Upstreams) Sequence() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sequence
}

// UpdateSince returns what changed after a sequence number; 0 requests all entries.
func (u *Upstreams) UpdateSince(sequence uint64) Update {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Update{Sequence: u.sequence, StoreVersion: u.storeVersion}
	kept := len(u.changes) > 0 && u.changes[0].sequence <= sequence+1
	if sequence == 0 || sequence > u.sequence || (!kept && sequence < u.sequence) {
		out.Full = true
		for _, name := range slices.Sorted(maps.Keys(u.entries)) {
			if e := u.entries[name]; e.heldUntil.IsZero() {
				out.Entries = append(out.Entries, e.object)
			}
		}
		return out
	}
	seen := make(map[string]bool)
	for _, c := range u.changes {
		if c.sequence <= sequence || seen[c.name] || c.name == noEntry {
			continue
		}
		seen[c.name] = true
		if e := u.entries[c.name]; e != nil && e.heldUntil.IsZero() {
			out.Entries = append(out.Entries, e.object)
			continue
		}
		out.Removed = append(out.Removed, c.name)
	}
	return out
}

// Apply applies the update of a node that this one follows. An update from a node that has seen
// less of the store than this one is ignored: it would bring back removed entries and drop new
// ones. Apply returns false if that node has not seen the store's latest era: what it knows from
// before is still missing here.
func (u *Upstreams) Apply(update *Update) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if update.StoreVersion < u.storeVersion {
		u.logger.Info("outdated update of upstreams ignored", "reached", update.StoreVersion, "here", u.storeVersion)
		return update.StoreVersion.Era() == u.storeVersion.Era()
	}
	u.updateEra(update.StoreVersion)
	u.storeVersion = update.StoreVersion
	listed := make(map[string]bool, len(update.Entries))
	for _, object := range update.Entries {
		listed[object.Metadata.Name] = true
		u.put(object)
	}
	for _, name := range update.Removed {
		if u.entries[name] != nil {
			u.remove(name)
		}
	}
	if update.Full {
		for _, name := range slices.Collect(maps.Keys(u.entries)) {
			if !listed[name] && !u.keepsUnlisted(name) {
				u.remove(name)
			}
		}
	}
	u.publish()
	return true
}

// publish rebuilds the view. u.mu must be held.
func (u *Upstreams) publish() {
	v := &View{ByService: make(map[string][]site.Upstream), All: make(map[string]site.Upstream, len(u.entries))}
	for _, id := range slices.Sorted(maps.Keys(u.entries)) {
		e := u.entries[id]
		if !e.usable {
			continue
		}
		v.All[id] = e.upstream
		if !e.upstream.Draining {
			v.ByService[e.upstream.Service] = append(v.ByService[e.upstream.Service], e.upstream)
		}
	}
	for _, list := range v.ByService {
		slices.SortFunc(list, func(a, b site.Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	u.view.Store(v)
}
