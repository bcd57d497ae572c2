package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
)

const (
	// UpstreamsKind is the kind of the objects that list upstreams, one for each failure domain.
	UpstreamsKind objects.Kind = "upstreams"
	// maxSetTries is how often Set starts anew after another writer was first.
	maxSetTries = 8
	// setRetryDelay is the wait between two tries of Set.
	setRetryDelay = 50 * time.Millisecond
)

// DomainList is the spec of the object of one failure domain.
type DomainList struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Registry keeps the list of upstreams on one node. It is a View.
//
// Lock order: mu is a leaf.
type Registry struct {
	store  objects.Store
	relay  *relay.Relay
	logger *slog.Logger

	mu       sync.Mutex
	domains  map[ident.FailureDomain]domainVersion
	snapshot atomic.Pointer[[]Upstream]
}

// domainVersion is one version of the list of a failure domain.
type domainVersion struct {
	version   objects.Version
	upstreams []Upstream
}

// NewRegistry returns a registry that hears of upstreams by the relay, which
// must keep UpstreamsKind current.
func NewRegistry(store objects.Store, r *relay.Relay, logger *slog.Logger) *Registry {
	if logger == nil {
		logger = slog.Default()
	}
	out := &Registry{store: store, relay: r, logger: logger, domains: make(map[ident.FailureDomain]domainVersion)}
	out.snapshot.Store(&[]Upstream{})
	r.Subscribe(UpstreamsKind, out.apply)
	return out
}

// Upstreams returns a snapshot, ordered by ID; it must not be changed.
func (r *Registry) Upstreams() []Upstream { return *r.snapshot.Load() }

// apply takes in a version of a failure domain's list unless a later one is known.
func (r *Registry) apply(object objects.Object) {
	var list DomainList
	if err := json.Unmarshal(object.Spec, &list); err != nil {
		r.logger.Error("list of upstreams can't be read", "failureDomain", object.Metadata.Name, "error", err)
		return
	}
	domain := ident.FailureDomain(object.Metadata.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.domains[domain].version >= object.Metadata.ResourceVersion {
		return
	}
	r.domains[domain] = domainVersion{version: object.Metadata.ResourceVersion, upstreams: list.Upstreams}
	all := []Upstream{}
	for _, d := range r.domains {
		all = append(all, d.upstreams...)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	r.snapshot.Store(&all)
}

// Set changes the list of one failure domain by edit, which may be called again
// with a later list and must not change the one it is given. The errors are the store's.
func (r *Registry) Set(ctx context.Context, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	return r.setBy(ctx, r.store, domain, edit)
}

// setBy is Set by another client of the store.
func (r *Registry) setBy(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	if r.trySetHeld(ctx, store, domain, edit) {
		return nil
	}
	var err error
	for range maxSetTries {
		if err = r.trySet(ctx, store, domain, edit); err == nil || !worthAnotherTry(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(setRetryDelay):
		}
	}
	return err
}

// worthAnotherTry reports whether an edit of whatever is current may be tried again.
func worthAnotherTry(err error) bool {
	kind := objects.KindOf(err)
	return kind == objects.KindConflict || kind == objects.KindUnknown || kind == objects.KindUnavailable
}

func (r *Registry) trySet(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	current, err := store.Get(ctx, UpstreamsKind, string(domain))
	missing := objects.KindOf(err) == objects.KindNotFound
	if err != nil && !missing {
		return err
	}
	var list DomainList
	if !missing {
		if err := json.Unmarshal(current.Spec, &list); err != nil {
			return errors.Wrapf(err, "upstreams of %s", domain)
		}
	}
	edited := edit(list.Upstreams)
	if !missing && slices.EqualFunc(edited, list.Upstreams, sameUpstream) {
		r.relay.Put(current)
		return nil
	}
	return r.write(ctx, store, domain, current.Metadata.ResourceVersion, edited)
}

// trySetHeld edits the version that this node holds, which is not read anew. It reports
// whether that was written. What failed may have been on an old version, or may have
// been written after all, and an edit may change nothing because the version is old: all
// that is for trySet.
func (r *Registry) trySetHeld(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) bool {
	r.mu.Lock()
	held := r.domains[domain]
	r.mu.Unlock()
	if held.version == 0 {
		return false
	}
	edited := edit(held.upstreams)
	if slices.EqualFunc(edited, held.upstreams, sameUpstream) {
		return false
	}
	return r.write(ctx, store, domain, held.version, edited) == nil
}

// write replaces a version of the list of a failure domain; 0 is that there is none.
func (r *Registry) write(ctx context.Context, store objects.Store, domain ident.FailureDomain, version objects.Version, upstreams []Upstream) error {
	spec, err := json.Marshal(DomainList{Upstreams: upstreams})
	if err != nil {
		return err
	}
	next := objects.Object{Kind: UpstreamsKind, Metadata: objects.Metadata{Name: string(domain), ResourceVersion: version}, Spec: spec}
	var stored objects.Object
	if version == 0 {
		stored, err = store.Create(ctx, next)
	} else {
		stored, err = store.Update(ctx, next)
	}
	if err != nil {
		return err
	}
	r.relay.Put(stored)
	return nil
}

// sameUpstream reports whether two upstreams are the same in every field.
func sameUpstream(a, b Upstream) bool {
	left, leftErr := json.Marshal(a)
	right, rightErr := json.Marshal(b)
	return leftErr == nil && rightErr == nil && string(left) == string(right)
}
