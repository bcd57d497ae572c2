package peers

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// sharedStore is an in-memory store of node records; it fails while down.
type sharedStore struct {
	objects.Store

	mu      sync.Mutex
	records map[string]objects.Object
	down    bool
	// losesWriteResponses makes writes take effect but return an error, as if their response
	// was lost.
	losesWriteResponses bool
	calls               []string
}

func (s *sharedStore) recordCall(call string) error {
	s.calls = append(s.calls, call)
	if s.down {
		return &objects.Error{Kind: objects.KindUnavailable, Call: call}
	}
	return nil
}

func (s *sharedStore) Get(_ context.Context, _ objects.Kind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recordCall("get"); err != nil {
		return objects.Object{}, err
	}
	object, ok := s.records[name]
	if !ok {
		return object, &objects.Error{Kind: objects.KindNotFound}
	}
	return object, nil
}

func (s *sharedStore) Create(_ context.Context, object objects.Object) (objects.Object, error) {
	return s.Update(context.Background(), object)
}

func (s *sharedStore) Update(_ context.Context, object objects.Object) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recordCall("write"); err != nil {
		return object, err
	}
	s.records[object.Metadata.Name] = object
	if s.losesWriteResponses {
		return object, &objects.Error{Kind: objects.KindUnknown, Call: "write"}
	}
	return object, nil
}

func (s *sharedStore) List(context.Context, objects.Kind) (objects.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recordCall("list"); err != nil {
		return objects.List{}, err
	}
	var out objects.List
	for _, object := range s.records {
		out.Items = append(out.Items, object)
	}
	return out, nil
}

func newTestRegistry(store objects.Store, name string) *Registry {
	return NewRegistry(store, name, Record{Incarnation: "1", Address: name + ":1", Control: name + ":2"}, slog.New(slog.DiscardHandler))
}

// Guards against two nodes that start at once, list before they register, miss each other, and
// then each grant the full rate of every quota.
func TestNodeRegistersBeforeItLists(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	registered := false
	require.NoError(t, newTestRegistry(store, "a").registerAndList(context.Background(), &registered))
	require.True(t, registered)
	require.Equal(t, []string{"get", "write", "list"}, store.calls)
}

func TestOneOfTwoConcurrentlyStartedNodesFindsTheOther(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	a, b := newTestRegistry(store, "a"), newTestRegistry(store, "b")
	var both sync.WaitGroup
	for _, r := range []*Registry{a, b} {
		both.Go(func() {
			registered := false
			_ = r.registerAndList(context.Background(), &registered)
		})
	}
	both.Wait()
	require.Positive(t, len(a.Others())+len(b.Others()))
}

func TestFailedRegistrationIsRetried(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), down: true}
	r, registered := newTestRegistry(store, "a"), false
	require.Error(t, r.registerAndList(context.Background(), &registered))
	require.False(t, registered)
	store.down = false
	require.NoError(t, r.registerAndList(context.Background(), &registered))
	require.Contains(t, store.records, "a")
}

func TestInvalidRecordIsIgnored(t *testing.T) {
	store := &sharedStore{records: map[string]objects.Object{
		"bad":  {Metadata: objects.Metadata{Name: "bad"}, Spec: []byte(`7`)},
		"good": {Metadata: objects.Metadata{Name: "good"}, Spec: []byte(`{"address":"x:1"}`)},
	}}
	r, registered := newTestRegistry(store, "a"), false
	require.NoError(t, r.registerAndList(context.Background(), &registered))
	require.Len(t, r.Others(), 1)
}

// Guards against nodes that start while the store loses the responses to writes: if a node that
// could not register did not list the others either, each would take itself for the only one.
func TestNodeListsOthersWhenRegistrationResponseIsLost(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), losesWriteResponses: true}
	registered := false
	one, two := newTestRegistry(store, "one"), newTestRegistry(store, "two")
	require.Error(t, one.registerAndList(t.Context(), &registered))
	require.Error(t, two.registerAndList(t.Context(), &registered))
	require.Contains(t, two.Others(), "one")
	require.NoError(t, one.registerAndList(t.Context(), &registered), "its record was stored")
	require.True(t, registered)
	require.Contains(t, one.Others(), "two")
}

func TestPreviousIncarnationIsReadFromTheStore(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), losesWriteResponses: true}
	for i, previous := range []string{"0", "1", "2"} {
		own := Record{Incarnation: strconv.Itoa(i + 1), Address: "a:1"}
		r, registered := NewRegistry(store, "a", own, slog.New(slog.DiscardHandler)), false
		require.Empty(t, r.PreviousIncarnation())
		require.Error(t, r.registerAndList(t.Context(), &registered), "the response is lost")
		require.NoError(t, r.registerAndList(t.Context(), &registered))
		require.Equal(t, previous, r.PreviousIncarnation())
		<-r.Joined()
	}
}

// The current process of the other node could not register, so the store still holds the record of
// its previous process.
func TestPreviousIncarnationOfAnUnregisteredNodeIsReadFromTheStore(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	registered := false
	require.NoError(t, NewRegistry(store, "turned-away", Record{Incarnation: "1", Address: "t:1"}, slog.New(slog.DiscardHandler)).registerAndList(t.Context(), &registered))
	r := newTestRegistry(store, "a")
	require.Empty(t, r.PreviousIncarnationOf("turned-away", "2", ""), "nothing listed yet")
	registered = false
	require.NoError(t, r.registerAndList(t.Context(), &registered))
	require.Equal(t, "1", r.PreviousIncarnationOf("turned-away", "2", ""))
	require.Equal(t, "3", r.PreviousIncarnationOf("turned-away", "4", "3"))
	require.Empty(t, r.PreviousIncarnationOf("turned-away", "1", ""), "the record is of the living incarnation")
	require.Equal(t, noPrevious, r.PreviousIncarnationOf("new", "1", ""))
}
