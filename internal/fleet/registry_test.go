package fleet

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

func TestRegistrySetSurvivesOtherWritersAndLostAnswers(t *testing.T) {
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
		stand.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostAnswer, Verb: verb, Calls: 1})
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
	require.Len(t, mine.Upstreams(), 4, "an older list came back")
}
