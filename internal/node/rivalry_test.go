package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/platform"
)

func TestReplacedProcessWithDuplicateNodeNameWaits(t *testing.T) {
	store := httptest.NewServer(platform.NewServer(platform.Options{}))
	defer store.Close()
	s, winner := startPlainNode(t, store.URL)
	_, loser := startPlainNode(t, store.URL, s.PeerAdvertise)
	if loser.self.NewerThan(winner.self) {
		winner, loser = loser, winner
	}
	<-loser.DeclaredDead()
	loser.Abandon()
	require.Equal(t, minConflictPause, loser.PauseAfterDeath(new(Rivalry)))
	require.Zero(t, winner.PauseAfterDeath(new(Rivalry)))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	winner.Drain(ctx)
}

func TestProcessesWithDuplicateNodeNameReplaceEachOtherRarely(t *testing.T) {
	const watched = 24 * time.Hour
	var rivals [2]Rivalry
	var began [2]time.Duration
	var now time.Duration
	replaced := 0
	for ; now < watched; replaced++ {
		victim := replaced % 2
		now += rivals[victim].Next(now - began[victim])
		began[victim] = now
	}
	require.Less(t, replaced, 2*int(watched/maxConflictPause))
}

func TestRestartPauseDoublesUntilResetByLongUptime(t *testing.T) {
	var r Rivalry
	require.Equal(t, minConflictPause, r.Next(time.Second))
	require.Equal(t, 2*minConflictPause, r.Next(minConflictPause))
	for range 20 {
		r.Next(2 * maxConflictPause)
	}
	require.Equal(t, maxConflictPause, r.Next(2*maxConflictPause), "the uptime spans the other's pause and is below conflictResetUptime")
	require.Equal(t, minConflictPause, r.Next(conflictResetUptime))
}
