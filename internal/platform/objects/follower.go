package objects

import (
	"context"
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// firstBackoff is the wait after the first failure of a follower.
	firstBackoff = 200 * time.Millisecond
	// maxBackoff is the longest wait of a follower between two tries.
	maxBackoff = 5 * time.Second
)

// Follower keeps up with all objects of a kind: it lists, watches from there,
// and starts anew whenever the watch breaks, goes silent or is compacted.
type Follower struct {
	Store Store
	Kind  Kind
	// Object is called with each object seen; versions of one name may repeat
	// or come back older after a break, and the callee ignores those.
	Object func(Object)
	// Deleted is called with each object seen to go; nil to ignore.
	Deleted func(Object)
	// Alive is called whenever a bookmark proved that what was told so far is current
	// and holds all up to a version; a list may be old, and behind an event there may be
	// others.
	Alive func(Version)
	// Failed is called with why a watch ended or a list failed; nil to ignore.
	Failed func(error)
	// Listed is called with each whole list, instead of Object for each of its items,
	// so that the callee sees what is gone; nil to get the items one by one.
	Listed func(List)
	// MaxBackoff is the longest wait between two tries; 0 for the default.
	MaxBackoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	longest := maxBackoff
	if f.MaxBackoff > 0 {
		longest = f.MaxBackoff
	}
	backoff := firstBackoff
	var version Version
	for ctx.Err() == nil {
		began := time.Now()
		err := f.once(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		if f.Failed != nil {
			f.Failed(err)
		}
		if time.Since(began) > longest {
			backoff = firstBackoff
		}
		wait.For(ctx, jitter(backoff))
		backoff = min(backoff*2, longest)
	}
}

// once lists when it must and watches until the watch ends; version is what was seen last.
func (f *Follower) once(ctx context.Context, version *Version) error {
	if *version == 0 {
		list, err := f.Store.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.handleList(list)
		*version = list.Metadata.ResourceVersion
	}
	err := f.Store.Watch(ctx, f.Kind, *version, func(event Event) error {
		f.handle(event)
		*version = max(*version, event.Object.Metadata.ResourceVersion)
		return nil
	})
	if KindOf(err) == KindCompacted {
		*version = 0
	}
	return err
}

func (f *Follower) handleList(list List) {
	if f.Listed != nil {
		f.Listed(list)
		return
	}
	for _, object := range list.Items {
		f.Object(object)
	}
}

func (f *Follower) handle(event Event) {
	switch event.Type {
	case EventAdded, EventModified:
		f.Object(event.Object)
	case EventDeleted:
		if f.Deleted != nil {
			f.Deleted(event.Object)
		}
	case EventBookmark:
		f.Alive(event.Object.Metadata.ResourceVersion)
	case EventError:
	}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // spreading, not a secret
}
