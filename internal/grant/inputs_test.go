package grant

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// newLimitedTable returns a table whose inputs are bounded.
func newLimitedTable(bytes int64) (*Table, *Inputs) {
	t, inputs := NewTable(100), NewInputs(bytes)
	t.LimitInputs(inputs)
	return t, inputs
}

// claimInput claims a new idempotent request with an input of n bytes.
func claimInput(t *Table, random string, n int) (ident.RequestID, error) {
	id := ident.RequestID{Random: random}
	spec := &request.Spec{ID: id, Idempotent: true, Input: strings.Repeat("x", n), Deadline: time.Unix(1000, 0)}
	_, err := t.Claim(&ClaimRequest{ID: id, Holder: home, Spec: spec})
	return id, err
}

func TestInputsAreCountedUntilTheirRequestsEnd(t *testing.T) {
	table, inputs := newLimitedTable(1000)
	finished, err := claimInput(table, "finished", 300)
	require.NoError(t, err)
	cancelled, err := claimInput(table, "cancelled", 300)
	require.NoError(t, err)
	expired, err := claimInput(table, "expired", 300)
	require.NoError(t, err)
	require.EqualValues(t, 900, inputs.Bytes())

	_, err = claimInput(table, "over", 200)
	require.ErrorIs(t, err, ErrNoMemory)
	require.Equal(t, 3, table.Len(), "a refused request has no entry")
	_, err = table.Claim(&ClaimRequest{ID: expired, Holder: home, Spec: &request.Spec{Input: strings.Repeat("x", 300)}})
	require.NoError(t, err, "one that has an entry needs no more room")

	_, err = table.Finish(&FinishRequest{ID: finished, Holder: home, Epoch: 1, Record: request.Record{Phase: request.PhaseDone}})
	require.NoError(t, err)
	require.EqualValues(t, 600, inputs.Bytes())
	_, err = table.Cancel(&CancelRequest{ID: cancelled})
	require.NoError(t, err)
	require.EqualValues(t, 300, inputs.Bytes())
	require.Equal(t, 3, table.Expire(time.Unix(2000, 0), time.Second))
	require.Zero(t, inputs.Bytes())
}

func TestLongInputsLeaveRoomForShortOnes(t *testing.T) {
	table, _ := newLimitedTable(800 << 10)
	_, err := claimInput(table, "long", 701<<10)
	require.ErrorIs(t, err, ErrNoMemory)
	_, err = claimInput(table, "long", 700<<10)
	require.NoError(t, err)
	_, err = claimInput(table, "short", longInput)
	require.NoError(t, err)
}

func TestInputsOfASuccessorsTableAreCountedAndNotRefused(t *testing.T) {
	table, inputs := newLimitedTable(1000)
	_, err := claimInput(table, "a", 900)
	require.NoError(t, err)
	require.NoError(t, table.Close(other))
	snapshot, err := table.Snapshot()
	require.NoError(t, err)
	require.EqualValues(t, 900, inputs.Bytes())

	next, taken := NewSuccessorTable(100), NewInputs(100)
	next.LimitInputs(taken)
	next.Install(&snapshot)
	require.EqualValues(t, 900, taken.Bytes())
	require.Equal(t, 1, next.Expire(time.Unix(2000, 0), time.Second))
	require.Zero(t, taken.Bytes())
}

func TestClaimReplyOmitsOnlyTheClaimantsOwnInput(t *testing.T) {
	spec := func(input string) *request.Spec { return &request.Spec{Input: input} }
	for name, c := range map[string]struct {
		req     ClaimRequest
		input   string
		omitted bool
	}{
		"the claimant's own":       {ClaimRequest{OmitInput: true, Spec: spec("x")}, "x", true},
		"another":                  {ClaimRequest{OmitInput: true, Spec: spec("x")}, "y", false},
		"dropped":                  {ClaimRequest{OmitInput: true, Spec: spec("x")}, "", false},
		"none known":               {ClaimRequest{OmitInput: true}, "x", false},
		"an older release's claim": {ClaimRequest{Spec: spec("x")}, "x", false},
	} {
		reply := ClaimReply{Record: request.Record{Spec: request.Spec{Input: c.input}}}
		reply.OmitInput(&c.req)
		require.Equal(t, c.omitted, reply.InputOmitted, name)
		require.Equal(t, c.omitted, reply.Record.Spec.Input != c.input, name)
		reply.RestoreInput(&c.req)
		require.Equal(t, c.input, reply.Record.Spec.Input, name)
	}
}
