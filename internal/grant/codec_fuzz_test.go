package grant

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/request"
)

// FuzzDecodeSnapshot checks that the decoder handles arbitrary data, and that a
// snapshot it accepts is unchanged by encoding and decoding it again.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(sampleSnapshot(f))
	f.Add([]byte{})
	f.Add([]byte{0xfc, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			require.True(t, errors.Is(err, ErrBadSnapshot))
			return
		}
		again, err := s.Encode()
		require.NoError(t, err)
		back, err := DecodeSnapshot(again)
		require.NoError(t, err)
		require.Len(t, back.Entries, len(s.Entries))
		require.Equal(t, s.Spent, back.Spent)
		for i := range s.Entries {
			require.Equal(t, s.Entries[i].Slot, back.Entries[i].Slot)
			require.Equal(t, s.Entries[i].Record.Tokens, back.Entries[i].Record.Tokens)
		}
	})
}

// sampleSnapshot returns an encoded snapshot with a finished and a spent request.
func sampleSnapshot(tb testing.TB) []byte {
	tb.Helper()
	table := NewTable(10)
	_, err := table.Claim(&ClaimRequest{ID: testID, Holder: home, Spec: spec(false)})
	require.NoError(tb, err)
	_, err = table.Grant(&Request{ID: testID, Holder: home, Epoch: 1})
	require.NoError(tb, err)
	_, err = table.Finish(&FinishRequest{ID: testID, Holder: home, Epoch: 1, Record: request.Record{Phase: request.PhaseDone, Output: "held", Tokens: []string{"a", "b"}}})
	require.NoError(tb, err)
	spent := testID
	spent.Random = "cccccccccccccccc"
	_, err = table.Void(&VoidRequest{ID: spent, Holder: home})
	require.NoError(tb, err)
	require.NoError(tb, table.Close(other))
	s, err := table.Snapshot()
	require.NoError(tb, err)
	data, err := s.Encode()
	require.NoError(tb, err)
	return data
}

func TestDecodeSnapshotRejectsInconsistentEntries(t *testing.T) {
	for name, entry := range map[string]Entry{
		"no ID":                   {},
		"idempotent and granted":  {Record: request.Record{Spec: *spec(true)}, Slot: Slot{Taken: true}},
		"free slot with a holder": {Record: request.Record{Spec: *spec(false)}, Slot: Slot{Holder: home}},
	} {
		s := Snapshot{Entries: []Entry{entry}}
		data, err := s.Encode()
		require.NoError(t, err)
		_, err = DecodeSnapshot(data)
		require.True(t, errors.Is(err, ErrBadSnapshot), name)
	}
}
