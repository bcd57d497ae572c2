package server

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

func TestIncarnationPairBracketsTheCheckpoint(t *testing.T) {
	at := time.Unix(1000, 0)
	started := func(after time.Duration) string { return strconv.FormatInt(at.Add(after).UnixNano(), 16) }
	for name, c := range map[string]struct {
		incarnationPair
		want bool
	}{
		"previous process before, current after": {incarnationPair{started(time.Second), started(-time.Minute)}, true},
		"no previous process":                    {incarnationPair{started(time.Second), "0"}, true},
		"current process started before":         {incarnationPair{started(-time.Second), started(-time.Minute)}, false},
		"previous process started after":         {incarnationPair{started(2 * time.Second), started(time.Second)}, false},
		"previous process unknown":               {incarnationPair{started(time.Second), ""}, false},
		"previous incarnation unreadable":        {incarnationPair{started(time.Second), "?"}, false},
	} {
		require.Equal(t, c.want, c.brackets(at), name)
	}
}

// fakeObjectStore stores one object and can lose its responses.
type fakeObjectStore struct {
	exists, losesResponses bool
	updates                int
}

// respond returns err, or an unknown result if responses are lost.
func (o *fakeObjectStore) respond(err error) error {
	if o.losesResponses {
		return &objects.Error{Kind: objects.KindUnknown}
	}
	return err
}

func (o *fakeObjectStore) Create(context.Context, objects.Object) (objects.Object, error) {
	if o.exists {
		return objects.Object{}, o.respond(&objects.Error{Kind: objects.KindConflict})
	}
	o.exists = true
	return objects.Object{}, o.respond(nil)
}

func (o *fakeObjectStore) Update(context.Context, objects.Object) (objects.Object, error) {
	if !o.exists {
		return objects.Object{}, o.respond(&objects.Error{Kind: objects.KindNotFound})
	}
	o.updates++
	return objects.Object{}, o.respond(nil)
}

func TestCheckpointWriterCreatesObjectDespiteLostResponses(t *testing.T) {
	for name, store := range map[string]*fakeObjectStore{
		"no object": {}, "responses lost": {losesResponses: true}, "object of another node": {exists: true}, "object of another node and responses lost": {exists: true, losesResponses: true},
	} {
		w := &checkpointWriter{store: store}
		_ = w.write(t.Context(), objects.Object{}) // a lost response is returned as an error
		require.True(t, store.exists, name)
		for range 3 {
			_ = w.write(t.Context(), objects.Object{})
		}
		require.GreaterOrEqual(t, store.updates, 3, name)
		if !store.losesResponses {
			store.exists = false
			require.NoError(t, w.write(t.Context(), objects.Object{}), name)
			require.True(t, store.exists, "the object is created again")
		}
	}
}
