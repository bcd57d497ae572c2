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
	// maxSetAttempts bounds the attempts of Set when writes conflict or fail.
	maxSetAttempts = 8
	// setRetryDelay is the delay between two attempts of Set.
	setRetryDelay = 50 * time.Millisecond
)

// DomainList is the spec of the object that lists the upstreams of one failure domain.
type DomainList struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Registry holds this node's copy of the lists of upstreams. It implements View.
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

// domainVersion is one version of the list of upstreams of a failure domain.
type domainVersion struct {
	version   objects.Version
	upstreams []Upstream
}

// NewRegistry returns a registry that receives the lists from the relay, which must
// follow UpstreamsKind.
func NewRegistry(store objects.Store, r *relay.Relay, logger *slog.Logger) *Registry {
	if logger == nil {
		logger = slog.Default()
	}
	out := &Registry{store: store, relay: r, logger: logger, domains: make(map[ident.FailureDomain]domainVersion)}
	out.snapshot.Store(&[]Upstream{})
	r.Subscribe(UpstreamsKind, out.apply)
	return out
}

// Upstreams returns a snapshot, ordered by ID, which callers must not modify.
func (r *Registry) Upstreams() []Upstream { return *r.snapshot.Load() }

// apply stores a version of a failure domain's list and rebuilds the snapshot, unless
// that version or a later one is known.
func (r *Registry) apply(object objects.Object) {
	var list DomainList
	if err := json.Unmarshal(object.Spec, &list); err != nil {
		r.logger.Error("list of upstreams not decoded", "failureDomain", object.Metadata.Name, "error", err)
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

// Set applies edit to the list of one failure domain and writes the result. edit may be
// called again with a later list and must not modify its argument. Errors come from the
// store.
func (r *Registry) Set(ctx context.Context, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	return r.setVia(ctx, r.store, domain, edit)
}

// setVia is Set through the given store client.
func (r *Registry) setVia(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
	if r.trySetCached(ctx, store, domain, edit) {
		return nil
	}
	var err error
	for range maxSetAttempts {
		if err = r.readAndTrySet(ctx, store, domain, edit); err == nil || !isRetryable(err) {
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

// isRetryable reports whether Set may retry after err by editing the current version.
func isRetryable(err error) bool {
	kind := objects.KindOf(err)
	return kind == objects.KindConflict || kind == objects.KindUnknown || kind == objects.KindUnavailable
}

func (r *Registry) readAndTrySet(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) error {
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

// trySetCached edits the version that this node holds, without reading the store, and
// reports whether the result was written. On false the caller falls back to readAndTrySet: the
// held version may be outdated, a failed write may have taken effect, and an edit that
// changes nothing may do so only because the held version is outdated.
func (r *Registry) trySetCached(ctx context.Context, store objects.Store, domain ident.FailureDomain, edit func([]Upstream) []Upstream) bool {
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

// write replaces the given version of a failure domain's list, or creates the list if
// version is 0.
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

// sameUpstream reports whether two upstreams have equal JSON encodings.
func sameUpstream(a, b Upstream) bool {
	left, leftErr := json.Marshal(a)
	right, rightErr := json.Marshal(b)
	return leftErr == nil && rightErr == nil && string(left) == string(right)
}
