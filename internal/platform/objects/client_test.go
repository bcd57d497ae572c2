package objects_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	thingKind = objects.Kind("things")
	// testTimeout bounds the wait for events that should arrive immediately.
	testTimeout = 20 * time.Second
)

// fixture is a stand-in platform server with a client.
type fixture struct {
	platform *platform.Server
	url      string
	store    *objects.Client
}

func newFixture(t *testing.T, options objects.Options) *fixture {
	t.Helper()
	server := platform.NewServer(platform.Options{Seed: 1})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	t.Cleanup(listener.CloseClientConnections)
	options.BaseURL = listener.URL
	if options.Budget == nil {
		options.Budget = objects.NewBudget(1e6, 1000)
	}
	client := objects.NewClient(options)
	t.Cleanup(client.Close)
	return &fixture{platform: server, url: listener.URL, store: client}
}

func newThing(name, spec string) objects.Object {
	return objects.Object{Kind: thingKind, Metadata: objects.Metadata{Name: name}, Spec: json.RawMessage(spec)}
}

func TestConflictReturnsTheStoredObject(t *testing.T) {
	f := newFixture(t, objects.Options{})
	ctx := t.Context()
	first, err := f.store.Create(ctx, newThing("a", `{"n":1}`))
	require.NoError(t, err)
	_, err = f.store.Create(ctx, newThing("a", `{"n":9}`))
	require.Equal(t, objects.KindConflict, objects.KindOf(err))

	second := first
	second.Spec = json.RawMessage(`{"n":2}`)
	updated, err := f.store.Update(ctx, second)
	require.NoError(t, err)
	require.Greater(t, updated.Metadata.ResourceVersion, first.Metadata.ResourceVersion)

	_, err = f.store.Update(ctx, first)
	require.Equal(t, objects.KindConflict, objects.KindOf(err))
	current, ok := objects.CurrentOf(err)
	require.True(t, ok)
	require.JSONEq(t, `{"n":2}`, string(current.Spec))

	err = f.store.Delete(ctx, thingKind, "a", first.Metadata.ResourceVersion)
	require.Equal(t, objects.KindConflict, objects.KindOf(err))
	require.NoError(t, f.store.Delete(ctx, thingKind, "a", updated.Metadata.ResourceVersion))
	_, err = f.store.Get(ctx, thingKind, "a")
	require.Equal(t, objects.KindNotFound, objects.KindOf(err))
}

func TestLostResponseIsUnknownAndWriteIsNotRepeated(t *testing.T) {
	f := newFixture(t, objects.Options{})
	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: "create", Calls: 1})
	_, err := f.store.Create(t.Context(), newThing("a", `{"n":1}`))
	require.Equal(t, objects.KindUnknown, objects.KindOf(err))
	object, err := f.store.Get(t.Context(), thingKind, "a")
	require.NoError(t, err)
	require.EqualValues(t, 1, object.Metadata.ResourceVersion)

	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: "update", Calls: 1})
	_, err = f.store.Update(t.Context(), object)
	require.Equal(t, objects.KindUnknown, objects.KindOf(err))
	object, err = f.store.Get(t.Context(), thingKind, "a")
	require.NoError(t, err)
	require.EqualValues(t, 2, object.Metadata.ResourceVersion, "a write without a response was sent again")
}

func TestTimedOutWriteIsUnknownAndTimedOutReadIsUnavailable(t *testing.T) {
	f := newFixture(t, objects.Options{CallTimeout: time.Second})
	_, err := f.store.Create(t.Context(), newThing("first", `{}`)) // opens the connection
	require.NoError(t, err)
	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultHang})
	_, err = f.store.Create(t.Context(), newThing("a", `{}`))
	require.Equal(t, objects.KindUnknown, objects.KindOf(err))
	_, err = f.store.Get(t.Context(), thingKind, "a")
	require.Equal(t, objects.KindUnavailable, objects.KindOf(err))
}

func TestUnsentWritesAreUnavailable(t *testing.T) {
	unreachable := objects.NewClient(objects.Options{BaseURL: "http://127.0.0.1:1"})
	_, err := unreachable.Create(t.Context(), newThing("a", `{}`))
	require.Equal(t, objects.KindUnavailable, objects.KindOf(err))

	f := newFixture(t, objects.Options{Budget: objects.NewBudget(1e-6, 2)})
	_, err = f.store.Create(t.Context(), newThing("a", `{}`))
	require.NoError(t, err)
	_, err = f.store.Get(t.Context(), thingKind, "a")
	require.NoError(t, err)
	_, err = f.store.Create(t.Context(), newThing("b", `{}`))
	require.Equal(t, objects.KindUnavailable, objects.KindOf(err), "beyond the budget")
	require.EqualValues(t, 2, f.platform.Counts().Total, "a call beyond the budget was sent")

	_, err = f.store.Create(t.Context(), newThing("c", `"`+strings.Repeat("x", objects.MaxObjectBytes)+`"`))
	require.Equal(t, objects.KindRefused, objects.KindOf(err))
}

func TestStaleReadReturnsAnOlderVersion(t *testing.T) {
	f := newFixture(t, objects.Options{})
	first, err := f.store.Create(t.Context(), newThing("a", `{"n":1}`))
	require.NoError(t, err)
	_, err = f.store.Update(t.Context(), first)
	require.NoError(t, err)
	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, VersionsBehind: 1})
	old, err := f.store.Get(t.Context(), thingKind, "a")
	require.NoError(t, err)
	require.Equal(t, first.Metadata.ResourceVersion, old.Metadata.ResourceVersion)
}

func TestWatchEndsWhenIdleDroppedOrCompacted(t *testing.T) {
	f := newFixture(t, objects.Options{WatchIdleTimeout: 1500 * time.Millisecond})
	_, err := f.store.Create(t.Context(), newThing("a", `{}`))
	require.NoError(t, err)
	_, err = f.store.Create(t.Context(), newThing("b", `{}`))
	require.NoError(t, err)
	watch := func(since objects.Version, handle func(objects.Event) error) error {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		return f.store.Watch(ctx, thingKind, since, handle)
	}
	ignore := func(objects.Event) error { return nil }

	errStop := errors.New("stop watching")
	err = watch(1, func(e objects.Event) error {
		require.Equal(t, "b", e.Object.Metadata.Name)
		return errStop
	})
	require.ErrorIs(t, err, errStop)
	err = watch(2, func(e objects.Event) error {
		require.Equal(t, objects.EventBookmark, e.Type)
		return errStop
	})
	require.ErrorIs(t, err, errStop)

	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultSilentWatch})
	require.Equal(t, objects.KindWatchIdle, objects.KindOf(watch(2, ignore)))
	f.platform.ClearFaults()
	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultDropWatch})
	require.Equal(t, objects.KindUnavailable, objects.KindOf(watch(2, ignore)))
	f.platform.ClearFaults()
	f.platform.AddFault(platform.Fault{Kind: platform.FaultCompact})
	require.Equal(t, objects.KindCompacted, objects.KindOf(watch(1, ignore)))
}

func TestFollowerRecoversFromBrokenWatches(t *testing.T) {
	f := newFixture(t, objects.Options{WatchIdleTimeout: 1200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	seen := make(chan objects.Object, 100)
	failed := make(chan error, 100)
	follower := objects.Follower{
		Store: f.store, Kind: thingKind, OnBookmark: func(objects.Version) {},
		OnObject: func(o objects.Object) { seen <- o },
		OnError:  func(err error) { failed <- err },
	}
	done := make(chan struct{})
	go func() { defer close(done); follower.Run(ctx) }()
	object, err := f.store.Create(ctx, newThing("a", `{}`))
	require.NoError(t, err)
	waitVersion(ctx, t, seen, object.Metadata.ResourceVersion)
	for _, kind := range []platform.FaultKind{platform.FaultDropWatch, platform.FaultSilentWatch} {
		f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: kind, Calls: 1})
		select {
		case err := <-failed:
			require.Error(t, err)
		case <-ctx.Done():
			t.Fatalf("%s did not end the watch", kind)
		}
		object, err = f.store.Update(ctx, object)
		require.NoError(t, err)
		f.platform.AddFault(platform.Fault{Kind: platform.FaultCompact})
		waitVersion(ctx, t, seen, object.Metadata.ResourceVersion)
	}
	cancel()
	<-done
}

func TestFollowerReportsBookmarksOnlyAfterCurrentObjects(t *testing.T) {
	f := newFixture(t, objects.Options{})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	first, err := f.store.Create(ctx, newThing("a", `{}`))
	require.NoError(t, err)
	last, err := f.store.Update(ctx, first)
	require.NoError(t, err)
	f.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, VersionsBehind: 1})
	var latest objects.Version
	follower := objects.Follower{
		Store: f.store, Kind: thingKind,
		OnObject: func(o objects.Object) { latest = o.Metadata.ResourceVersion },
		OnBookmark: func(objects.Version) {
			require.Equal(t, last.Metadata.ResourceVersion, latest, "an outdated list was reported as current")
			cancel()
		},
	}
	follower.Run(ctx)
	require.Equal(t, last.Metadata.ResourceVersion, latest)
}

// waitVersion waits until an object of the given version is seen.
func waitVersion(ctx context.Context, t *testing.T, seen <-chan objects.Object, version objects.Version) {
	t.Helper()
	for {
		select {
		case o := <-seen:
			if o.Metadata.ResourceVersion == version {
				return
			}
		case <-ctx.Done():
			t.Fatalf("version %d was not seen in time", version)
		}
	}
}
