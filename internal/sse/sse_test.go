package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/bounded"
)

func TestRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	require.NoError(t, Write(&buf, "token", map[string]int{"offset": 3}))
	require.NoError(t, WriteHeartbeat(&buf))
	require.NoError(t, Write(&buf, "", "x"))
	reader := NewReader(&buf)

	first, err := reader.Next()
	require.NoError(t, err)
	require.Equal(t, Event{Name: "token", Data: []byte(`{"offset":3}`)}, first)
	second, err := reader.Next()
	require.NoError(t, err)
	require.True(t, second.Comment)
	third, err := reader.Next()
	require.NoError(t, err)
	require.Equal(t, `"x"`, string(third.Data))
	_, err = reader.Next()
	require.ErrorIs(t, err, io.EOF)
}

func TestIncompleteEventIsNotReturned(t *testing.T) {
	reader := NewReader(strings.NewReader("event: token\ndata: {\"off"))
	_, err := reader.Next()
	require.ErrorIs(t, err, io.EOF)
}

func TestEndlessEventIsRejected(t *testing.T) {
	r := NewReader(io.LimitReader(endlessLines{}, 64*MaxEventBytes))
	_, err := r.Next()
	require.ErrorIs(t, err, bounded.ErrTooLong)
}

// endlessLines is an endless stream of data lines without the empty line that ends an
// event.
type endlessLines struct{}

func (endlessLines) Read(p []byte) (int, error) {
	const line = "data: x\n"
	n := 0
	for n+len(line) <= len(p) {
		n += copy(p[n:], line)
	}
	if n == 0 {
		n = copy(p, line)
	}
	return n, nil
}
