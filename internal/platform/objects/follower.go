package objects

import (
	"context"
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// initialBackoff is the delay after the first failure of a follower.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the delay between two attempts of a follower.
	maxBackoff = 5 * time.Second
)

// Follower tracks all objects of a kind: it lists them and watches for changes after the
// version of the list. A watch that breaks or becomes idle is resumed from the last version
// seen; after compaction the follower lists again.
type Follower struct {
	Store Store
	Kind  Kind
	// OnObject is called with each object seen. After a reconnect, versions of an object may
	// repeat or be older than before; the callee must ignore those.
	OnObject func(Object)
	// OnDeleted is called with each deleted object; nil to ignore.
	OnDeleted func(Object)
	// OnBookmark is called with the version of each bookmark. Only a bookmark proves that all
	// changes up to a version were delivered: a list may be outdated, and after an event
	// others may follow.
	OnBookmark func(Version)
	// OnError is called with the error of each ended watch or failed list; nil to ignore.
	OnError func(error)
	// OnList is called with each complete list, instead of OnObject for each of its items, so
	// that the callee can detect deletions; nil to receive the items one by one.
	OnList func(List)
	// MaxBackoff bounds the delay between two attempts; 0 for the default.
	MaxBackoff time.Duration
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	longest := maxBackoff
	if f.MaxBackoff > 0 {
		longest = f.MaxBackoff
	}
	backoff := initialBackoff
	var version Version
	for ctx.Err() == nil {
		began := time.Now()
		err := f.listAndWatch(ctx, &version)
		if ctx.Err() != nil {
			return
		}
		if f.OnError != nil {
			f.OnError(err)
		}
		if time.Since(began) > longest {
			backoff = initialBackoff
		}
		wait.For(ctx, jitter(backoff))
		backoff = min(backoff*2, longest)
	}
}

// listAndWatch lists if version is 0 and watches until the watch ends. version is the last version
// seen; it is reset to 0 when compacted.
func (f *Follower) listAndWatch(ctx context.Context, version *Version) error {
	if *version == 0 {
		list, err := f.Store.List(ctx, f.Kind)
		if err != nil {
			return err
		}
		f.handleList(list)
		*version = list.Metadata.ResourceVersion
	}
	err := f.Store.Watch(ctx, f.Kind, *version, func(event Event) error {
		f.handleEvent(event)
		*version = max(*version, event.Object.Metadata.ResourceVersion)
		return nil
	})
	if KindOf(err) == KindCompacted {
		*version = 0
	}
	return err
}

func (f *Follower) handleList(list List) {
	if f.OnList != nil {
		f.OnList(list)
		return
	}
	for _, object := range list.Items {
		f.OnObject(object)
	}
}

func (f *Follower) handleEvent(event Event) {
	switch event.Type {
	case EventAdded, EventModified:
		f.OnObject(event.Object)
	case EventDeleted:
		if f.OnDeleted != nil {
			f.OnDeleted(event.Object)
		}
	case EventBookmark:
		f.OnBookmark(event.Object.Metadata.ResourceVersion)
	case EventError:
	}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1) //nolint:gosec // used for jitter, not for secrets
}
