package exchange

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestEventReaderKeepsBytesUnchanged(t *testing.T) {
	text := "versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\ndata: " + strings.Repeat("x", 9000) + "\nid:3\n\n"
	for name, source := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
		r := newEventReader(source)
		var all strings.Builder
		var ids []string
		for {
			event, id, err := r.next()
			all.Write(event)
			ids = append(ids, id)
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err, name)
		}
		require.Equal(t, text, all.String(), name)
		require.Equal(t, []string{"1", "2", "", "3", ""}, ids, name)
	}
}

func TestEventReaderRejectsEndlessEvent(t *testing.T) {
	r := newEventReader(io.LimitReader(strings.NewReader(strings.Repeat("x", 3*maxEventBytes)), 3*maxEventBytes))
	_, _, err := r.next()
	require.ErrorIs(t, err, errEventTooLong)
}

func TestEventReaderReportsIncompleteEvent(t *testing.T) {
	broken := errors.New("reset")
	r := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(broken)))
	event, id, err := r.next()
	require.NoError(t, err)
	require.Equal(t, "1", id)
	require.Equal(t, "id: 1\ndata: a\n\n", string(event))
	_, _, err = r.next()
	require.ErrorIs(t, err, broken)
}
