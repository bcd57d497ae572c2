package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	home    ident.Incarnation = "n1_0000000000000001"
	other   ident.Incarnation = "n2_0000000000000002"
	witness ident.Incarnation = "n3_0000000000000003"
)

var (
	testID   = ident.RequestID{Home: home, Witness: witness, Random: "aaaaaaaaaaaaaaaa"}
	deadline = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

// stampedID returns an ID whose prefix was issued at the given time.
func stampedID(issued time.Time) ident.RequestID {
	id, err := ident.ParseRequestID(ident.StampedPrefix(home, witness, issued) + testID.Random)
	if err != nil {
		panic(err)
	}
	return id
}

func spec(idempotent bool) *request.Spec {
	return &request.Spec{ID: testID, Workspace: "w", Idempotent: idempotent, Deadline: deadline}
}

func claim(t *testing.T, table *Table, holder ident.Incarnation, idempotent bool, seen uint64) ClaimReply {
	t.Helper()
	reply, err := table.Claim(&ClaimRequest{ID: testID, Holder: holder, Spec: spec(idempotent), SeenEpoch: seen})
	require.NoError(t, err)
	return reply
}

func askGrant(t *testing.T, table *Table, holder ident.Incarnation, epoch uint64) Reply {
	t.Helper()
	reply, err := table.Grant(&Request{ID: testID, Holder: holder, Epoch: epoch})
	require.NoError(t, err)
	return reply
}

func finish(t *testing.T, table *Table, holder ident.Incarnation, epoch uint64, record request.Record) UpdateReply {
	t.Helper()
	reply, err := table.Finish(&FinishRequest{ID: testID, Holder: holder, Epoch: epoch, Record: record})
	require.NoError(t, err)
	return reply
}

func TestGrantIsExclusiveAndRepeatable(t *testing.T) {
	table := NewTable(10)
	require.True(t, claim(t, table, home, false, 0).Claimed)
	require.True(t, askGrant(t, table, home, 1).Granted)
	require.True(t, askGrant(t, table, home, 1).Granted)
	reply := claim(t, table, other, false, 1)
	require.False(t, reply.Claimed)
	require.True(t, reply.Granted)
	require.False(t, askGrant(t, table, other, 1).Granted)
	require.False(t, askGrant(t, table, other, 2).Granted)
}

func TestTakeOverBeforeGrantExcludesOldHolder(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	require.False(t, claim(t, table, other, false, 0).Claimed)
	taken := claim(t, table, other, false, 1)
	require.True(t, taken.Claimed)
	require.Equal(t, uint64(2), taken.Record.Epoch)
	require.False(t, askGrant(t, table, home, 1).Granted)
	require.True(t, askGrant(t, table, other, 2).Granted)
	late := claim(t, table, "n9_0000000000000009", false, 1)
	require.False(t, late.Claimed)
}

func TestResultOfGrantedHolderIsReturnedToOthers(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	askGrant(t, table, home, 1)
	require.True(t, finish(t, table, home, 1, request.Record{Phase: request.PhaseDone, Output: "held"}).Applied)
	reply := claim(t, table, other, false, 1)
	require.Equal(t, request.PhaseDone, reply.Record.Phase)
	require.Equal(t, "held", reply.Record.Output)
	require.False(t, finish(t, table, other, 1, request.Record{Phase: request.PhaseFailed}).Applied)
}

func TestNotRunVoidsTheGrant(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	reply, err := table.Void(&VoidRequest{ID: testID, Holder: other, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "full")})
	require.NoError(t, err)
	require.True(t, reply.Voided)
	require.Equal(t, verdict.NotRun, reply.Record.Failure.Verdict)
	require.False(t, askGrant(t, table, home, 1).Granted)

	finished := NewTable(10)
	claim(t, finished, home, false, 0)
	finish(t, finished, home, 1, request.Record{Phase: request.PhaseFailed, Failure: verdict.New(verdict.NotRun, verdict.CodeDeadline, "late")})
	require.False(t, askGrant(t, finished, home, 1).Granted)
	require.False(t, claim(t, finished, other, false, 1).Claimed)
}

func TestGrantedRequestIsNeverVoided(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	askGrant(t, table, home, 1)
	for _, holder := range []ident.Incarnation{home, other} {
		reply, err := table.Void(&VoidRequest{ID: testID, Holder: holder})
		require.NoError(t, err)
		require.False(t, reply.Voided)
	}
}

func TestDoneWithoutGrantIsRefused(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	_, err := table.Finish(&FinishRequest{ID: testID, Holder: home, Epoch: 1, Record: request.Record{Phase: request.PhaseDone}})
	require.ErrorIs(t, err, ErrNotGranted)
	_, err = table.Finish(&FinishRequest{ID: testID, Holder: home, Epoch: 1, Record: request.Record{Phase: request.PhaseRunning}})
	require.ErrorIs(t, err, ErrNotFinal)
}

func TestProgressKeepsOneGenerationWithoutGaps(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, true, 0)
	report := func(generation ident.Generation, moves, offset int, tokens ...string) UpdateReply {
		reply, err := table.Progress(&ProgressRequest{ID: testID, Holder: home, Epoch: 1, Upstream: "u", Generation: generation, Moves: moves, Offset: offset, Tokens: tokens})
		require.NoError(t, err)
		return reply
	}
	require.True(t, report("g1", 0, 0, "a", "b").Applied)
	gap := report("g1", 0, 3, "d")
	require.False(t, gap.Applied)
	require.Equal(t, 2, gap.Known)
	require.True(t, report("g1", 0, 1, "b", "c").Applied)
	require.True(t, report("g1", 0, 0, "a").Applied)
	require.False(t, report("g2", 1, 3, "x").Applied, "a new generation starts at 0")
	require.True(t, report("g2", 1, 0, "x").Applied)
	require.False(t, report("g1", 0, 0, "a", "b", "c").Applied, "a late report of the old generation")
	reply, err := table.Fetch(&FetchRequest{ID: testID})
	require.NoError(t, err)
	require.Equal(t, []string{"x"}, reply.Record.Tokens)
}

func TestReleasedRequestIsClaimedWithItsTokens(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, true, 0)
	_, err := table.Progress(&ProgressRequest{ID: testID, Holder: home, Epoch: 1, Upstream: "u", Generation: "g", Tokens: []string{"a"}, Released: true})
	require.NoError(t, err)
	reply := claim(t, table, other, true, 0)
	require.True(t, reply.Claimed)
	require.Equal(t, []string{"a"}, reply.Record.Tokens)
	late := finish(t, table, home, 1, request.Record{Phase: request.PhaseDone})
	require.False(t, late.Applied)
}

func TestCancelBeforeGrantIsNotRunAndAfterGrantIsReported(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	_, err := table.Cancel(&CancelRequest{ID: testID, Workspace: "stranger"})
	require.ErrorIs(t, err, ErrWrongWorkspace)
	reply, err := table.Cancel(&CancelRequest{ID: testID, Workspace: "w"})
	require.NoError(t, err)
	require.Equal(t, request.PhaseCancelled, reply.Record.Phase)
	require.False(t, askGrant(t, table, home, 1).Granted)

	running := NewTable(10)
	claim(t, running, home, false, 0)
	askGrant(t, running, home, 1)
	reply, err = running.Cancel(&CancelRequest{ID: testID, Workspace: "w"})
	require.NoError(t, err)
	require.Equal(t, request.PhaseRunning, reply.Record.Phase)
	done := finish(t, running, home, 1, request.Record{Phase: request.PhaseDone, Output: "held"})
	require.True(t, done.Applied)
	require.True(t, done.Cancelled)
}

func TestOtherWorkspaceIsRefused(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	stranger := spec(false)
	stranger.Workspace = "stranger"
	_, err := table.Claim(&ClaimRequest{ID: testID, Holder: other, Spec: stranger, SeenEpoch: 1})
	require.ErrorIs(t, err, ErrWrongWorkspace)
	_, err = table.Void(&VoidRequest{ID: testID, Holder: other, Spec: stranger})
	require.ErrorIs(t, err, ErrWrongWorkspace)
}

func TestExpiredGrantIsNotGrantedAgain(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	askGrant(t, table, home, 1)
	require.Equal(t, 0, table.Expire(deadline.Add(time.Minute), time.Minute))
	require.Equal(t, 1, table.Expire(deadline.Add(time.Minute+1), time.Minute))
	require.Equal(t, 0, table.Len())
	reply := claim(t, table, home, false, 0)
	require.False(t, reply.Claimed)
	require.True(t, reply.Granted)
	require.Equal(t, verdict.MayHaveRun, reply.Record.Failure.Verdict)
	require.False(t, askGrant(t, table, home, 1).Granted)
	voided, err := table.Void(&VoidRequest{ID: testID, Holder: home, Spec: spec(false)})
	require.NoError(t, err)
	require.False(t, voided.Voided)
}

func TestVoidOfUnknownIDWithoutSpecIsKept(t *testing.T) {
	table := NewTable(10)
	reply, err := table.Void(&VoidRequest{ID: testID, Holder: other})
	require.NoError(t, err)
	require.True(t, reply.Voided)
	require.False(t, claim(t, table, home, false, 0).Claimed)
}

func TestFullTableRefusesPermanently(t *testing.T) {
	table := NewTable(1)
	claim(t, table, home, false, 0)
	second := testID
	second.Random = "bbbbbbbbbbbbbbbb"
	req := &ClaimRequest{ID: second, Holder: home, Spec: spec(false)}
	_, err := table.Claim(req)
	require.ErrorIs(t, err, ErrFull)
	table.Expire(deadline.Add(time.Hour), 0)
	_, err = table.Claim(req)
	require.ErrorIs(t, err, ErrFull, "the first refusal promised that the request is never run")
	idempotent := &ClaimRequest{ID: second, Holder: home, Spec: spec(true)}
	reply, err := table.Claim(idempotent)
	require.NoError(t, err)
	require.True(t, reply.Claimed)
}

func TestHandOverHasOneSuccessorAndKeepsDecisions(t *testing.T) {
	table := NewTable(10)
	claim(t, table, home, false, 0)
	askGrant(t, table, home, 1)
	_, err := table.Snapshot()
	require.ErrorIs(t, err, ErrNotClosed)
	require.NoError(t, table.Close(other))
	require.NoError(t, table.Close(other))
	require.ErrorIs(t, table.Close(home), ErrOtherSuccessor)
	_, err = table.Grant(&Request{ID: testID, Holder: home, Epoch: 1})
	require.ErrorIs(t, err, ErrClosed)

	snapshot, err := table.Snapshot()
	require.NoError(t, err)
	data, err := snapshot.Encode()
	require.NoError(t, err)
	back, err := DecodeSnapshot(data)
	require.NoError(t, err)

	next := NewSuccessorTable(10)
	_, err = next.Grant(&Request{ID: testID, Holder: home, Epoch: 1})
	require.ErrorIs(t, err, ErrNotInstalled)
	next.Install(back)
	require.True(t, askGrant(t, next, home, 1).Granted)
	require.False(t, askGrant(t, next, other, 1).Granted)
	finish(t, next, home, 1, request.Record{Phase: request.PhaseDone})
	next.Install(back)
	reply, err := next.Fetch(&FetchRequest{ID: testID})
	require.NoError(t, err)
	require.Equal(t, request.PhaseDone, reply.Record.Phase, "a snapshot installed twice changes nothing")
}
