package operator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/tables"
)

func TestDrainReportsDrainedUpstreams(t *testing.T) {
	f := newFixture()
	f.runner.options.Upstreams = upstreams{{ID: "u1", Host: "h1", State: fleet.StateReady}, {ID: "u2", Host: "h1", State: fleet.StateReady}}
	for text, want := range map[string]string{
		"drain host h1":     "change c1: accepted, version 3: keeps new work from 2 upstreams known here, until `clear drain host/h1`\n",
		"drain upstream u2": "change c1: accepted, version 3: keeps new work from 1 upstreams known here, until `clear drain upstream/u2`\n",
		"drain host h9":     "change c1: accepted, version 3: nothing called host/h9 is known here now, see `show hosts` and `show upstreams`; the drain holds when it appears, until `clear drain host/h9`\n",
	} {
		require.Equal(t, want, f.run(t, Command{Text: text, Change: "c1"}).Text)
	}
	f.editor.outcome = config.Outcome{Kind: config.OutcomeConflict, ConflictingChanges: []config.ChangeRecord{{Change: "other", Summary: "clear drain host/h1"}}}
	require.Contains(t, f.run(t, Command{Text: "drain host h1", Change: "c2", BaseVersion: 2}).Text, "came first: change other: clear drain host/h1")
}

func TestClearDrainNeedsHostOrUpstreamKey(t *testing.T) {
	for _, text := range []string{"clear drain h1", "clear drain host/", "clear drain node/n1"} {
		_, err := query.Parse(text, tables.Schema())
		var located *query.Error
		require.ErrorAs(t, err, &located, text)
		require.Equal(t, 13, located.Column, text)
	}
}
