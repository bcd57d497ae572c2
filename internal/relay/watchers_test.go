package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

func TestWatchersAndHintTargetsHaveOwnProtocol(t *testing.T) {
	var members []membership.Member
	for i := range 12 {
		members = append(members, membership.Member{
			Incarnation:   ident.Incarnation(fmt.Sprintf("n%d_1", i)),
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i/6)),
			Foreign:       i%2 == 1,
		})
	}
	require.Len(t, watchersOf(members, "d0"), WatchersPerDomain)
	relay := New(Options{View: &listView{members: members}})
	require.True(t, relay.isWatcher())
	targets := relay.hintTargets()
	require.NotEmpty(t, targets)
	for _, m := range append(targets, watchersOf(members, "d1")...) {
		require.False(t, m.Foreign)
	}
}
