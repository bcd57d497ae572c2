package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// membersIn returns count members distributed evenly over the given number of failure domains.
func membersIn(count, domains int) []membership.Member {
	var out []membership.Member
	for n := range count {
		node := ident.Node(fmt.Sprintf("n%d", n))
		out = append(out, membership.Member{
			Incarnation:   ident.NewIncarnation(node, time.UnixMilli(int64(n))),
			Node:          node,
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", n%domains)),
			State:         membership.StateAlive,
		})
	}
	return out
}

func TestTurnStartIsTheStartOfItsInterval(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123)
	turn := TurnAt(at)
	require.False(t, turn.Start().After(at))
	require.True(t, (turn + 1).Start().After(at))
	require.Equal(t, turn+1, TurnAt((turn + 1).Start()))
	require.Equal(t, turn, TurnAt((turn + 1).Start().Add(-time.Millisecond)))
}

func TestTurnsOfARoundGoToDifferentFailureDomains(t *testing.T) {
	members := membersIn(6, 3)
	for turn := Turn(0); turn < 2_000; turn += turnsPerRound {
		first, _ := HostListReader(members, turn)
		second, _ := HostListReader(members, turn+1)
		require.NotEqual(t, first.FailureDomain, second.FailureDomain)
	}
}

func TestSingleFailureDomainOrNodeTakesAllTurns(t *testing.T) {
	members := membersIn(2, 1)
	first, _ := HostListReader(members, 0)
	second, _ := HostListReader(members, 1)
	require.NotEqual(t, first.Node, second.Node)
	for turn := range Turn(4) {
		reader, found := HostListReader(members[:1], turn)
		require.True(t, found)
		require.Equal(t, members[0].Node, reader.Node)
	}
	_, found := HostListReader(nil, 0)
	require.False(t, found)
}

func TestDeadMemberGetsNoTurns(t *testing.T) {
	members := membersIn(6, 3)
	was, _ := HostListReader(members, 0)
	for i := range members {
		if members[i].Node == was.Node {
			members[i].State = membership.StateDead
		}
	}
	for turn := range Turn(200) {
		reader, found := HostListReader(members, turn)
		require.True(t, found)
		require.NotEqual(t, was.Node, reader.Node)
	}
}

// TestTurnsAreDistributedEvenly counts the turns of each node, with 100 turns per node
// on average. A binomial with this mean deviates by 6 standard deviations for one in
// 500 million nodes.
func TestTurnsAreDistributedEvenly(t *testing.T) {
	members := membersIn(114, 19)
	turns := make(map[ident.Node]int)
	for turn := range Turn(100 * len(members)) {
		reader, _ := HostListReader(members, turn)
		turns[reader.Node]++
	}
	for _, m := range members {
		require.InDelta(t, 100, turns[m.Node], 60)
	}
}
