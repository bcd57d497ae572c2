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

// sharedStore is a store of records in memory; it fails while down.
type sharedStore struct {
	objects.Store

	mu      sync.Mutex
	records map[string]objects.Object
	down    bool
	// losesAnswers makes writes be done without an answer.
	losesAnswers bool
	calls        []string
}

func (s *sharedStore) note(call string) error {
	s.calls = append(s.calls, call)
	if s.down {
		return &objects.Error{Kind: objects.KindUnavailable, Call: call}
	}
	return nil
}

func (s *sharedStore) Get(_ context.Context, _ objects.Kind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.note("get"); err != nil {
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
	if err := s.note("write"); err != nil {
		return object, err
	}
	s.records[object.Metadata.Name] = object
	if s.losesAnswers {
		return object, &objects.Error{Kind: objects.KindUnknown, Call: "write"}
	}
	return object, nil
}

func (s *sharedStore) List(context.Context, objects.Kind) (objects.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.note("list"); err != nil {
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

// Two nodes that list before they register can miss each other, and each then
// hands out the whole of every quota.
func TestANodeRegistersBeforeItLists(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	registered := false
	require.NoError(t, newTestRegistry(store, "a").step(context.Background(), &registered))
	require.True(t, registered)
	require.Equal(t, []string{"get", "write", "list"}, store.calls)
}

func TestOfTwoNodesThatStartAtOnceOneKnowsTheOther(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	a, b := newTestRegistry(store, "a"), newTestRegistry(store, "b")
	var both sync.WaitGroup
	for _, r := range []*Registry{a, b} {
		both.Go(func() {
			registered := false
			_ = r.step(context.Background(), &registered)
		})
	}
	both.Wait()
	require.Positive(t, len(a.Others())+len(b.Others()))
}

func TestANodeThatIsNotRegisteredTriesAgain(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), down: true}
	r, registered := newTestRegistry(store, "a"), false
	require.Error(t, r.step(context.Background(), &registered))
	require.False(t, registered)
	store.down = false
	require.NoError(t, r.step(context.Background(), &registered))
	require.Contains(t, store.records, "a")
}

func TestARecordThatCannotBeReadNamesNoNode(t *testing.T) {
	store := &sharedStore{records: map[string]objects.Object{
		"bad":  {Metadata: objects.Metadata{Name: "bad"}, Spec: []byte(`7`)},
		"good": {Metadata: objects.Metadata{Name: "good"}, Spec: []byte(`{"address":"x:1"}`)},
	}}
	r, registered := newTestRegistry(store, "a"), false
	require.NoError(t, r.step(context.Background(), &registered))
	require.Len(t, r.Others(), 1)
}

// A node that cannot register must still know the others: else it takes itself for the
// only one, as do all others that start while the store loses the answers of writes.
func TestANodeWhoseRegistrationHasNoAnswerKnowsTheOthers(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), losesAnswers: true}
	registered := false
	one, two := newTestRegistry(store, "one"), newTestRegistry(store, "two")
	require.Error(t, one.step(t.Context(), &registered))
	require.Error(t, two.step(t.Context(), &registered))
	require.Contains(t, two.Others(), "one")
	require.NoError(t, one.step(t.Context(), &registered), "what it wrote stands there")
	require.True(t, registered)
	require.Contains(t, one.Others(), "two")
}

func TestANodeKnowsWhichProcessOfItWasRegisteredBefore(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object), losesAnswers: true}
	for i, previous := range []string{"0", "1", "2"} {
		own := Record{Incarnation: strconv.Itoa(i + 1), Address: "a:1"}
		r, registered := NewRegistry(store, "a", own, slog.New(slog.DiscardHandler)), false
		require.Empty(t, r.Previous())
		require.Error(t, r.step(t.Context(), &registered), "the answer is lost")
		require.NoError(t, r.step(t.Context(), &registered))
		require.Equal(t, previous, r.Previous())
		<-r.Joined()
	}
}

func TestWhatLivedBeforeANodeThatCannotRegisterIsKnownFromTheStore(t *testing.T) {
	store := &sharedStore{records: make(map[string]objects.Object)}
	registered := false
	require.NoError(t, NewRegistry(store, "turned-away", Record{Incarnation: "1", Address: "t:1"}, slog.New(slog.DiscardHandler)).step(t.Context(), &registered))
	r := newTestRegistry(store, "a")
	require.Empty(t, r.PreviousOf("turned-away", "2", ""), "nothing was listed")
	registered = false
	require.NoError(t, r.step(t.Context(), &registered))
	require.Equal(t, "1", r.PreviousOf("turned-away", "2", ""))
	require.Equal(t, "3", r.PreviousOf("turned-away", "4", "3"))
	require.Empty(t, r.PreviousOf("turned-away", "1", ""), "the record is its own")
	require.Equal(t, noPrevious, r.PreviousOf("new", "1", ""))
}
