package server

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
