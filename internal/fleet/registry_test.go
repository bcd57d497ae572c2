package fleet

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

func TestRegistrySetHandlesConflictsAndLostResponses(t *testing.T) {
	stand := platform.NewServer(platform.Options{Seed: 1})
	server := httptest.NewServer(stand)
	defer server.Close()
	store := objects.NewClient(objects.Options{BaseURL: server.URL, Budget: objects.NewBudget(1e6, 100)})
	defer store.Close()
	mine := NewRegistry(store, relay.New(relay.Options{Store: store}), nil)
	theirs := NewRegistry(store, relay.New(relay.Options{Store: store}), nil)
	add := func(id ident.Upstream) func([]Upstream) []Upstream {
		return func(list []Upstream) []Upstream {
			for _, u := range list {
				if u.ID == id {
					return list
				}
			}
			return append(append([]Upstream(nil), list...), Upstream{ID: id})
		}
	}
	for _, verb := range []string{"create", "update", "update"} {
		stand.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: verb, Calls: 1})
	}
	require.NoError(t, mine.Set(t.Context(), "d1", add("u2")))
	require.NoError(t, theirs.Set(t.Context(), "d1", add("u1")))
	raced := false
	require.NoError(t, mine.Set(t.Context(), "d1", func(list []Upstream) []Upstream {
		if !raced {
			raced = true
			require.NoError(t, theirs.Set(t.Context(), "d1", add("u3")))
		}
		return add("u4")(list)
	}))
	ids := make([]ident.Upstream, 0, 4)
	for _, u := range mine.Upstreams() {
		ids = append(ids, u.ID)
	}
	require.Equal(t, []ident.Upstream{"u1", "u2", "u3", "u4"}, ids)
	mine.apply(objects.Object{Kind: UpstreamsKind, Metadata: objects.Metadata{Name: "d1", ResourceVersion: 1}, Spec: []byte(`{}`)})
	require.Len(t, mine.Upstreams(), 4, "an older list replaced a newer one")
}

// readCounter counts the reads of an object store.
type readCounter struct {
	objects.Store
	reads int
}

func (s *readCounter) Get(ctx context.Context, kind objects.Kind, name string) (objects.Object, error) {
	s.reads++
	return s.Store.Get(ctx, kind, name)
}

func TestRegistryReadsTheStoreOnlyWhenItsCopyIsOutdatedOrMissing(t *testing.T) {
	stand := platform.NewServer(platform.Options{Seed: 1})
	server := httptest.NewServer(stand)
	defer server.Close()
	client := objects.NewClient(objects.Options{BaseURL: server.URL, Budget: objects.NewBudget(1e6, 100)})
	defer client.Close()
	store := &readCounter{Store: client}
	mine := NewRegistry(store, relay.New(relay.Options{Store: store}), nil)
	theirs := NewRegistry(client, relay.New(relay.Options{Store: client}), nil)
	list := func(ids ...ident.Upstream) func([]Upstream) []Upstream {
		return func([]Upstream) []Upstream {
			var out []Upstream
			for _, id := range ids {
				out = append(out, Upstream{ID: id})
			}
			return out
		}
	}
	require.NoError(t, mine.Set(t.Context(), "d1", list("u1")))
	require.Equal(t, 1, store.reads, "the first Set has no copy and reads once")
	require.NoError(t, mine.Set(t.Context(), "d1", list("u1", "u2")))
	require.Equal(t, 1, store.reads, "a current copy was read again")
	require.NoError(t, theirs.Set(t.Context(), "d1", list("u3")))
	require.NoError(t, mine.Set(t.Context(), "d1", list("u1", "u2")))
	require.Equal(t, 2, store.reads, "an edit that changes nothing must check the newest version")
	require.Len(t, mine.Upstreams(), 2)
	require.NoError(t, theirs.Set(t.Context(), "d1", list("u3")))
	require.NoError(t, mine.Set(t.Context(), "d1", list("u4")))
	require.Equal(t, 3, store.reads, "an outdated copy must be read again")
	require.Equal(t, ident.Upstream("u4"), mine.Upstreams()[0].ID)
}
