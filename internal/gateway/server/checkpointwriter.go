package server

import (
	"context"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// objectWriter is the part of the platform's store that writes an object.
type objectWriter interface {
	Create(ctx context.Context, object objects.Object) (objects.Object, error)
	Update(ctx context.Context, object objects.Object) (objects.Object, error)
}

// checkpointWriter writes one object again and again. The first write creates it: an update
// whose answer is lost does not tell that there is none. It belongs to one goroutine.
type checkpointWriter struct {
	store objectWriter
	// there is true once the object may exist.
	there bool
}

func (w *checkpointWriter) write(ctx context.Context, object objects.Object) error {
	if !w.there {
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

func (w *checkpointWriter) create(ctx context.Context, object objects.Object) error {
	_, err := w.store.Create(ctx, object)
	kind := objects.KindOf(err)
	w.there = err == nil || kind == objects.KindConflict || kind == objects.KindUnknown
	return err
}
