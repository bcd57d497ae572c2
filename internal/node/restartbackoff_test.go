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
	require.Equal(t, minConflictPause, loser.RestartPause(new(RestartBackoff)))
	require.Zero(t, winner.RestartPause(new(RestartBackoff)))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	winner.Drain(ctx)
}

func TestProcessesWithDuplicateNodeNameReplaceEachOtherRarely(t *testing.T) {
	const watched = 24 * time.Hour
	var backoffs [2]RestartBackoff
	var startedAt [2]time.Duration
	var now time.Duration
	replacements := 0
	for ; now < watched; replacements++ {
		victim := replacements % 2
		now += backoffs[victim].NextPause(now - startedAt[victim])
		startedAt[victim] = now
	}
	require.Less(t, replacements, 2*int(watched/maxConflictPause))
}

func TestRestartPauseDoublesUntilResetByLongUptime(t *testing.T) {
	var backoff RestartBackoff
	require.Equal(t, minConflictPause, backoff.NextPause(time.Second))
	require.Equal(t, 2*minConflictPause, backoff.NextPause(minConflictPause))
	for range 20 {
		backoff.NextPause(2 * maxConflictPause)
	}
	require.Equal(t, maxConflictPause, backoff.NextPause(2*maxConflictPause), "the uptime spans the other's pause and is below conflictResetUptime")
	require.Equal(t, minConflictPause, backoff.NextPause(conflictResetUptime))
}
