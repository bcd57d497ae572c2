package server

import (
	"context"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// objectWriter is the part of the platform's store that writes objects.
type objectWriter interface {
	Create(ctx context.Context, object objects.Object) (objects.Object, error)
	Update(ctx context.Context, object objects.Object) (objects.Object, error)
}

// checkpointWriter writes one object repeatedly. The first write creates the object, because an
// update whose response is lost does not show whether the object exists. It must be used by one
// goroutine only.
type checkpointWriter struct {
	store objectWriter
	// mayExist is true once the object may exist in the store.
	mayExist bool
}

// write updates the object and creates it if needed.
func (w *checkpointWriter) write(ctx context.Context, object objects.Object) error {
	if !w.mayExist {
		if err := w.create(ctx, object); objects.KindOf(err) != objects.KindConflict {
			return err
		}
	}
	_, err := w.store.Update(ctx, object)
	if objects.KindOf(err) == objects.KindNotFound {
		return w.create(ctx, object)
	}
	return err
}

// create creates the object and records whether it may exist now.
func (w *checkpointWriter) create(ctx context.Context, object objects.Object) error {
	_, err := w.store.Create(ctx, object)
	kind := objects.KindOf(err)
	w.mayExist = err == nil || kind == objects.KindConflict || kind == objects.KindUnknown
	return err
}
