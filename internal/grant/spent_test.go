package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// claimAndGrant has home claim a non-idempotent request and be granted it.
func claimAndGrant(t *testing.T, table *Table, id ident.RequestID, until time.Time) {
	t.Helper()
	s := &request.Spec{Workspace: "w", Deadline: until}
	reply, err := table.Claim(&ClaimRequest{ID: id, Holder: home, Spec: s})
	require.NoError(t, err)
	require.True(t, reply.Claimed)
	granted, err := table.Grant(&Request{ID: id, Holder: home, Epoch: 1})
	require.NoError(t, err)
	require.True(t, granted.Granted)
}

// requireRefused checks that id can be neither claimed, granted nor voided.
func requireRefused(t *testing.T, table *Table, id ident.RequestID) {
	t.Helper()
	s := &request.Spec{Workspace: "w", Deadline: deadline}
	claimed, err := table.Claim(&ClaimRequest{ID: id, Holder: other, Spec: s})
	require.NoError(t, err)
	require.False(t, claimed.Claimed)
	require.True(t, claimed.Granted)
	require.Equal(t, verdict.MayHaveRun, claimed.Record.Failure.Verdict)
	given, err := table.Grant(&Request{ID: id, Holder: home, Epoch: 1})
	require.NoError(t, err)
	require.False(t, given.Granted)
	for _, sent := range []*request.Spec{s, nil} {
		voided, err := table.Void(&VoidRequest{ID: id, Holder: other, Spec: sent})
		require.NoError(t, err)
		require.False(t, voided.Voided)
	}
}

func TestGrantIsRefusedAfterItsFingerprintIsForgotten(t *testing.T) {
	issued := deadline.Add(-time.Minute)
	id := stampedID(issued)
	table := NewTable(10)
	claimAndGrant(t, table, id, deadline)
	for after := time.Duration(0); after < 2*FingerprintTTL; after += periodLength / 2 {
		table.Expire(deadline.Add(after), time.Minute)
		if table.Len() == 0 {
			requireRefused(t, table, id)
		}
	}
	require.Zero(t, table.Spent(), "its fingerprint should have been dropped")
	requireRefused(t, table, id)

	fresh := stampedID(issued.Add(2 * periodLength))
	claimAndGrant(t, table, fresh, deadline)
}

func TestForgottenGrantIsRefusedByFullTable(t *testing.T) {
	id := stampedID(deadline)
	table := NewTable(1)
	claimAndGrant(t, table, id, deadline)
	late := stampedID(deadline.Add(FingerprintTTL))
	_, err := table.Claim(&ClaimRequest{ID: late, Holder: home, Spec: spec(false)})
	require.ErrorIs(t, err, ErrFull)
	table.Expire(afterForgetting, 0)
	require.Zero(t, table.Spent())
	requireRefused(t, table, id)
}

func TestForgottenGrantIsRefusedAfterAHandOver(t *testing.T) {
	id := stampedID(deadline)
	kept := stampedID(deadline.Add(FingerprintTTL))
	table := NewTable(10)
	claimAndGrant(t, table, id, deadline)
	claimAndGrant(t, table, kept, deadline)
	table.Expire(afterForgetting, 0)
	require.Equal(t, 1, table.Spent())
	require.NoError(t, table.Close(other))
	snapshot, err := table.Snapshot()
	require.NoError(t, err)
	data, err := snapshot.Encode()
	require.NoError(t, err)
	back, err := DecodeSnapshot(data)
	require.NoError(t, err)
	next := NewSuccessorTable(10)
	next.Install(back)
	requireRefused(t, next, id)
	requireRefused(t, next, kept)
}

func TestOldIdempotentRequestsAreStillAccepted(t *testing.T) {
	id := stampedID(deadline)
	table := NewTable(10)
	claimAndGrant(t, table, id, deadline)
	table.Expire(afterForgetting, 0)
	again := stampedID(deadline)
	again.Random += "b"
	reply, err := table.Claim(&ClaimRequest{ID: again, Holder: home, Spec: spec(true)})
	require.NoError(t, err)
	require.True(t, reply.Claimed)
}

func TestFingerprintsOfIDsWithoutAStampAreNeverForgotten(t *testing.T) {
	table := NewTable(10)
	claimAndGrant(t, table, testID, deadline)
	claimAndGrant(t, table, stampedID(deadline), deadline)
	table.Expire(afterForgetting, 0)
	require.Equal(t, 1, table.Spent())
	requireRefused(t, table, testID)
	unknown := testID
	unknown.Random = "cccccccccccccccc"
	claimAndGrant(t, table, unknown, deadline)
}

// Guards against unbounded growth of the fingerprints: a witness with a request
// every 10 s for a day stores those of FingerprintTTL and two periods at most.
func TestFingerprintCountIsBounded(t *testing.T) {
	const every = 10 * time.Second
	table := NewTable(1 << 20)
	most := 0
	for n := range int(24 * time.Hour / every) {
		now := deadline.Add(time.Duration(n) * every)
		id := stampedID(now)
		id.Random += fmt.Sprintf("%08d", n)
		claimAndGrant(t, table, id, now.Add(time.Minute))
		table.Expire(now, time.Minute)
		most = max(most, table.Spent())
	}
	require.LessOrEqual(t, most, int((FingerprintTTL+2*periodLength)/every))
	require.Positive(t, most)
}
