package bounded

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadAllNeverReturnsPartOfInput(t *testing.T) {
	for size, limit := range map[int]int64{0: 0, 9: 10, 10: 10} {
		got, err := ReadAll(strings.NewReader(strings.Repeat("x", size)), limit)
		require.NoError(t, err)
		require.Len(t, got, size)
	}
	got, err := ReadAll(bytes.NewReader(make([]byte, 11)), 10)
	require.ErrorIs(t, err, ErrTooLong)
	require.Empty(t, got)
}

func TestReaderLimitHoldsUntilRemoved(t *testing.T) {
	r := NewReader(strings.NewReader("abcdef"))
	r.SetLimit(4)
	got, err := io.ReadAll(r)
	require.ErrorIs(t, err, ErrTooLong)
	require.Equal(t, "abcd", string(got))
	r.SetLimit(-1)
	got, err = io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "ef", string(got))
}
