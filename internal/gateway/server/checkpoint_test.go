package server

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

func TestALifeBetweenACheckpointAndTheLivingProcessIsSeen(t *testing.T) {
	at := time.Unix(1000, 0)
	started := func(after time.Duration) string { return strconv.FormatInt(at.Add(after).UnixNano(), 16) }
	for name, c := range map[string]struct {
		lifetimes
		spans bool
	}{
		"one life before, one after":       {lifetimes{started(time.Second), started(-time.Minute)}, true},
		"none before":                      {lifetimes{started(time.Second), "0"}, true},
		"it lives since before":            {lifetimes{started(-time.Second), started(-time.Minute)}, false},
		"another lived in between":         {lifetimes{started(2 * time.Second), started(time.Second)}, false},
		"what was before it is not known":  {lifetimes{started(time.Second), ""}, false},
		"what was before it is unreadable": {lifetimes{started(time.Second), "?"}, false},
	} {
		require.Equal(t, c.spans, c.span(at), name)
	}
}

// oneObject is a store of one object that may lose its answers.
type oneObject struct {
	there, loses bool
	updates      int
}

func (o *oneObject) answer(err error) error {
	if o.loses {
		return &objects.Error{Kind: objects.KindUnknown}
	}
	return err
}

func (o *oneObject) Create(context.Context, objects.Object) (objects.Object, error) {
	if o.there {
		return objects.Object{}, o.answer(&objects.Error{Kind: objects.KindConflict})
	}
	o.there = true
	return objects.Object{}, o.answer(nil)
}

func (o *oneObject) Update(context.Context, objects.Object) (objects.Object, error) {
	if !o.there {
		return objects.Object{}, o.answer(&objects.Error{Kind: objects.KindNotFound})
	}
	o.updates++
	return objects.Object{}, o.answer(nil)
}

func TestTheFirstCheckpointIsThereAlsoWhenAnswersAreLost(t *testing.T) {
	for name, store := range map[string]*oneObject{
		"there is none": {}, "answers are lost": {loses: true}, "another node wrote one": {there: true}, "both": {there: true, loses: true},
	} {
		w := &checkpointWriter{store: store}
		_ = w.write(t.Context(), objects.Object{}) // a lost answer is an error
		require.True(t, store.there, name)
		for range 3 {
			_ = w.write(t.Context(), objects.Object{})
		}
		require.GreaterOrEqual(t, store.updates, 3, name)
		if !store.loses {
			store.there = false
			require.NoError(t, w.write(t.Context(), objects.Object{}), name)
			require.True(t, store.there, "it is created again")
		}
	}
}
