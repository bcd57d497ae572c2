package lease

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// issuedSuffix ends the name of the object that keeps the highest fencing number of a lease.
	issuedSuffix = "-issued"
	// missingHolder stands in a lease that was found missing, for the holder that it may have had.
	missingHolder ident.Incarnation = "unknown-since-the-lease-was-deleted"
)

// issued is the highest fencing number of a lease that was ever to be used. It is
// kept beside the lease, so that a lease that was deleted by hand does not begin anew.
//
// Invariant: a fencing number stands here before a check gives it out.
type issued struct {
	Fence Fence `json:"fence"`

	version objects.Version
}

// readIssued reads the highest fencing number; it is 0, and found false, when none was ever issued.
func (l *Lease) readIssued(ctx context.Context) (out issued, found bool, err error) {
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name+issuedSuffix)
	if objects.KindOf(err) == objects.KindNotFound {
		return issued{}, false, nil
	}
	if err != nil {
		return issued{}, false, err
	}
	if err := json.Unmarshal(object.Spec, &out); err != nil {
		return issued{}, false, errors.Wrapf(err, "lease %s", object.Metadata.Name)
	}
	out.version = object.Metadata.ResourceVersion
	return out, true, nil
}

// issue writes down that a fencing number after last is to be used, and returns it.
// The write is conditional, so a number that was read old is not issued again.
func (l *Lease) issue(ctx context.Context, last Fence) (Fence, error) {
	before, found, err := l.readIssued(ctx)
	if err != nil {
		return 0, err
	}
	next := max(last, before.Fence) + 1
	spec, err := json.Marshal(issued{Fence: next})
	if err != nil {
		return 0, errors.Wrapf(err, "lease %s", l.options.Name)
	}
	object := objects.Object{Kind: Kind, Metadata: objects.Metadata{Name: l.options.Name + issuedSuffix, ResourceVersion: before.version}, Spec: spec}
	if !found {
		_, err = l.options.Store.Create(ctx, object)
		return next, err
	}
	_, err = l.options.Store.Update(ctx, object)
	return next, err
}

// issueFirst writes down the number of the first holder ever, whose lease was made
// just now: a number without a lease means that the lease was deleted.
func (l *Lease) issueFirst(ctx context.Context, fence Fence) error {
	issued, err := l.issue(ctx, 0)
	if err == nil && issued != fence {
		return errors.Newf("lease %s: number %d was issued meanwhile", l.options.Name, issued)
	}
	return err
}

// replaceMissing puts a lease in the place of one that is not there. When numbers were
// issued it was deleted, and its holder may still act: the new one names no node, so
// that it is taken only after its time, like that of any holder that is not heard of.
func (l *Lease) replaceMissing(ctx context.Context) error {
	before, found, err := l.readIssued(ctx)
	if err != nil {
		return err
	}
	if !found {
		return l.take(ctx, 0, Record{}, false)
	}
	l.options.Logger.Warn("the lease was deleted; it is taken after its time", "name", l.options.Name, "fence", before.Fence)
	record := Record{Holder: missingHolder, Fence: before.Fence, TTLMs: l.options.TTL.Milliseconds()}
	object, err := record.encode(l.options.Name, 0)
	if err != nil {
		return err
	}
	_, err = l.options.Store.Create(ctx, object)
	return err
}
