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
	// outageAfter is after how long without contact the store counts as away; a
	// watch answers every second.
	outageAfter = 1600 * time.Millisecond
	// lapseWindow is within what time after the store's return entries are found to
	// have lapsed; what is removed later was removed by its upstream.
	lapseWindow = 500 * time.Millisecond
	// returnGrace is for how long after the store's return an entry that lapsed is
	// still used: live upstreams register again within about two seconds.
	returnGrace = 2200 * time.Millisecond
)

// DecodeUpstream decodes the entry of an upstream.
type DecodeUpstream func(objects.Object) (site.Upstream, error)

// View is the upstreams at one moment; it does not change.
type View struct {
	// ByService lists the upstreams that may get work, ordered by ID.
	ByService map[string][]site.Upstream
	// All holds every known upstream by ID, draining ones included.
	All map[string]site.Upstream
}

// Upstreams follows the entries of the upstreams.
type Upstreams struct {
	decode DecodeUpstream
	logger *slog.Logger
	now    func() time.Time
	// ReachableElsewhere reports whether other nodes hear the store: then it was not
	// away, and no entry lapsed. Nil for never.
	ReachableElsewhere func() bool

	mu      sync.Mutex
	entries map[string]*entry
	contact time.Time
	// reached is the version of the store up to which all changes are in here.
	reached objects.Version
	// returned is when the store answered again after it was away.
	returned time.Time
	view     atomic.Pointer[View]
	// sequence counts the changes; changes holds the latest, for nodes that follow this one.
	sequence uint64
	changes  []change
}

// keptChanges is how many changes are kept for nodes that follow this one; one that
// is further behind gets the whole list.
const keptChanges = 512

// change names an entry that was put or removed.
type change struct {
	sequence uint64
	name     string
}

type entry struct {
	object   objects.Object
	upstream site.Upstream
	// usable is false for an entry that cannot be decoded.
	usable bool
	// vanished is when the entry was missed after the store's return; zero otherwise.
	vanished time.Time
}

// NewUpstreams returns an empty catalog of upstreams.
func NewUpstreams(decode DecodeUpstream, logger *slog.Logger, now func() time.Time) *Upstreams {
	u := &Upstreams{decode: decode, logger: logger, now: now, entries: make(map[string]*entry)}
	u.view.Store(&View{})
	return u
}

// View returns the upstreams as they are known now.
func (u *Upstreams) View() *View { return u.view.Load() }

// Contact notes that the store answered, and that all up to a version was told.
func (u *Upstreams) Contact(version objects.Version) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noteContact()
	u.reached = max(u.reached, version)
}

// ContactElsewhere notes that a node that this one follows heard the store some time ago.
func (u *Upstreams) ContactElsewhere(age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if at := u.now().Add(-age); at.After(u.contact) {
		u.contact = at
	}
}

func (u *Upstreams) noteContact() {
	now := u.now()
	if !u.contact.IsZero() && now.Sub(u.contact) > outageAfter {
		elsewhere := u.ReachableElsewhere != nil && u.ReachableElsewhere()
		if !elsewhere {
			u.returned = now
		}
		u.logger.Warn("store answers again", "away", now.Sub(u.contact), "reachable_elsewhere", elsewhere)
	}
	u.contact = now
}

// Age returns how long ago the store last answered.
func (u *Upstreams) Age() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now().Sub(u.contact)
}

// Put takes over an entry that was added or changed.
func (u *Upstreams) Put(object objects.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noteContact()
	if u.put(object) {
		u.publish()
	}
}

// put returns whether the view may have changed.
func (u *Upstreams) put(object objects.Object) bool {
	known := u.entries[object.Metadata.Name]
	if known != nil && known.vanished.IsZero() && object.Metadata.ResourceVersion <= known.object.Metadata.ResourceVersion {
		return false
	}
	upstream, err := u.decode(object)
	if err != nil {
		u.logger.Warn("upstream entry ignored", "upstream", object.Metadata.Name, "error", err)
	}
	next := &entry{object: object, upstream: upstream, usable: err == nil}
	u.entries[object.Metadata.Name] = next
	u.noteChange(object.Metadata.Name)
	if known == nil || known.usable != next.usable || known.upstream != next.upstream {
		u.logger.Info("upstream", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address.String(),
			"draining", upstream.Draining, "usable", next.usable, "version", object.Metadata.ResourceVersion)
	}
	return true
}

// Remove takes over that an entry is gone.
func (u *Upstreams) Remove(object objects.Object) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noteContact()
	if u.miss(object.Metadata.Name) {
		u.publish()
	}
}

// Replace takes over the whole list of entries.
func (u *Upstreams) Replace(list objects.List) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.noteContact()
	listed := make(map[string]bool, len(list.Items))
	for _, object := range list.Items {
		listed[object.Metadata.Name] = true
		u.put(object)
	}
	for name := range u.entries {
		if !listed[name] {
			u.miss(name)
		}
	}
	u.reached = max(u.reached, list.Metadata.ResourceVersion)
	u.publish()
}

// miss takes over that an entry is not there. One that vanished while the store was
// away is kept for a short time, unless it was draining.
func (u *Upstreams) miss(name string) bool {
	e := u.entries[name]
	if e == nil {
		return false
	}
	now := u.now()
	if e.usable && !e.upstream.Draining && !u.returned.IsZero() && now.Sub(u.returned) < lapseWindow {
		e.vanished = now
		u.logger.Info("upstream entry lapsed while the store was away", "upstream", name)
		return false
	}
	u.drop(name)
	return true
}

// drop removes an entry.
func (u *Upstreams) drop(name string) {
	u.logger.Info("upstream gone", "upstream", name)
	delete(u.entries, name)
	u.noteChange(name)
}

func (u *Upstreams) noteChange(name string) {
	u.sequence++
	u.changes = append(u.changes, change{sequence: u.sequence, name: name})
	if len(u.changes) > 2*keptChanges {
		u.changes = slices.Clone(u.changes[len(u.changes)-keptChanges:])
	}
}

// Expire drops entries that did not come back after the store's return.
func (u *Upstreams) Expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.returned.IsZero() || u.now().Sub(u.returned) < returnGrace {
		return
	}
	dropped := false
	for name, e := range u.entries {
		if !e.vanished.IsZero() {
			u.drop(name)
			dropped = true
		}
	}
	if dropped {
		u.publish()
	}
}

// Update is what changed at a node since another followed it last.
type Update struct {
	// Sequence is the number of the last change that is in the update.
	Sequence uint64 `json:"sequence"`
	// Reached is the version of the store up to which all changes are in the update, or
	// were in those before it.
	Reached objects.Version `json:"reached"`
	// Whole updates hold all entries; what is not in them is gone.
	Whole   bool             `json:"whole,omitempty"`
	Entries []objects.Object `json:"entries,omitempty"`
	Gone    []string         `json:"gone,omitempty"`
}

// Sequence returns the number of the last change.
func (u *Upstreams) Sequence() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sequence
}

// UpdateSince returns what changed after a sequence number; 0 asks for everything.
func (u *Upstreams) UpdateSince(sequence uint64) Update {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := Update{Sequence: u.sequence, Reached: u.reached}
	kept := len(u.changes) > 0 && u.changes[0].sequence <= sequence+1
	if sequence == 0 || sequence > u.sequence || (!kept && sequence < u.sequence) {
		out.Whole = true
		for _, name := range slices.Sorted(maps.Keys(u.entries)) {
			out.Entries = append(out.Entries, u.entries[name].object)
		}
		return out
	}
	seen := make(map[string]bool)
	for _, c := range u.changes {
		if c.sequence <= sequence || seen[c.name] {
			continue
		}
		seen[c.name] = true
		if e := u.entries[c.name]; e != nil {
			out.Entries = append(out.Entries, e.object)
			continue
		}
		out.Gone = append(out.Gone, c.name)
	}
	return out
}

// Apply takes over the update of a node that this one follows. One of a node that has
// seen less of the store than this one changes nothing: it holds what is gone, and
// lacks what is new.
func (u *Upstreams) Apply(update *Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if update.Reached < u.reached {
		u.logger.Info("older list of upstreams ignored", "reached", update.Reached, "here", u.reached)
		return
	}
	u.reached = update.Reached
	listed := make(map[string]bool, len(update.Entries))
	for _, object := range update.Entries {
		listed[object.Metadata.Name] = true
		u.put(object)
	}
	for _, name := range update.Gone {
		if u.entries[name] != nil {
			u.drop(name)
		}
	}
	if update.Whole {
		for _, name := range slices.Collect(maps.Keys(u.entries)) {
			if !listed[name] {
				u.drop(name)
			}
		}
	}
	u.publish()
}

// publish makes the view anew; u.mu is held.
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
