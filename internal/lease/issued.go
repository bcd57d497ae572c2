package lease

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// issuedSuffix is appended to a lease's name to name the object that stores its highest
	// fencing number.
	issuedSuffix = "-issued"
	// unknownHolder is the holder written into a recreated lease, since the holder before the
	// deletion is unknown.
	unknownHolder ident.Incarnation = "unknown-since-the-lease-was-deleted"
)

// issuedFence is the highest fencing number ever issued for a lease. It is stored in an object
// of its own, so that numbering continues after an operator deletes the lease.
//
// Invariant: a fencing number is stored here before Check returns it.
type issuedFence struct {
	Fence Fence `json:"fence"`

	version objects.Version
}

// readIssuedFence reads the highest fencing number issued; found is false if none ever was.
func (l *Lease) readIssuedFence(ctx context.Context) (out issuedFence, found bool, err error) {
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name+issuedSuffix)
	if objects.KindOf(err) == objects.KindNotFound {
		return issuedFence{}, false, nil
	}
	if err != nil {
		return issuedFence{}, false, err
	}
	if err := json.Unmarshal(object.Spec, &out); err != nil {
		return issuedFence{}, false, errors.Wrapf(err, "lease %s", object.Metadata.Name)
	}
	out.version = object.Metadata.ResourceVersion
	return out, true, nil
}

// issueFence stores and returns a fencing number higher than last, than any issued before, and than
// those of eras of the store before the given one. The write is conditional, so a stale read does not
// lead to a number being issued twice.
func (l *Lease) issueFence(ctx context.Context, last Fence, era uint64) (Fence, error) {
	before, found, err := l.readIssuedFence(ctx)
	if err != nil {
		return 0, err
	}
	next := max(last, before.Fence, minFence(max(era, before.version.Era()))) + 1
	spec, err := json.Marshal(issuedFence{Fence: next})
	if err != nil {
		return 0, errors.Wrapf(err, "lease %s", l.options.Name)
	}
	object := objects.Object{Kind: Kind, Metadata: objects.Metadata{Name: l.options.Name + issuedSuffix, ResourceVersion: before.version}, Spec: spec}
	var stored objects.Object
	if found {
		stored, err = l.options.Store.Update(ctx, object)
	} else {
		stored, err = l.options.Store.Create(ctx, object)
	}
	if err != nil {
		return next, err
	}
	return next, l.checkStoredEra(stored.Metadata.ResourceVersion, next)
}

// issueFirstFence stores the fencing number of the first holder ever, after the lease itself
// was created: a number without a lease means that the lease was deleted.
func (l *Lease) issueFirstFence(ctx context.Context, fence Fence) error {
	issued, err := l.issueFence(ctx, 0, 0)
	if err == nil && issued != fence {
		return errors.Newf("lease %s: fencing number %d was issued concurrently", l.options.Name, issued)
	}
	return err
}

// recreateDeleted handles a missing lease. If no fencing number was ever issued, this node
// acquires the lease. Otherwise the lease was deleted and its holder may still act: the
// recreated lease names unknownHolder, so that it can be acquired only after it expires, as
// after any holder that stops renewing.
func (l *Lease) recreateDeleted(ctx context.Context) error {
	before, found, err := l.readIssuedFence(ctx)
	if err != nil {
		return err
	}
	if !found {
		return l.acquire(ctx, 0, Record{}, false)
	}
	l.options.Logger.Warn("lease was deleted; recreated without a holder, to be acquired after it expires", "name", l.options.Name, "fence", before.Fence)
	record := Record{Holder: unknownHolder, Fence: before.Fence, TTLMs: l.options.TTL.Milliseconds()}
	object, err := record.encode(l.options.Name, 0)
	if err != nil {
		return err
	}
	_, err = l.options.Store.Create(ctx, object)
	return err
}
