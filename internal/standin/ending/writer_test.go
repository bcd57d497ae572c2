package ending

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exchange writes a response of three events over a TCP connection and returns what its peer can know:
// the body, and why it is not complete.
func exchange(t *testing.T, e Ending) (out *Writer, body string, err error) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	pieces := []string{"data: 1\n\n", "data: 2\n\n", "data: 3\n\n"}
	length := len(strings.Join(pieces, ""))
	stopAt := 1
	if e.Stop == InsideLastEvent {
		stopAt = len(pieces) - 1
		length -= len(pieces[stopAt]) - len(pieces[stopAt])/2
	}
	out = NewWriter(server, e, "HTTP/1.1 200 OK\r\n", length, stopAt)
	for _, piece := range pieces {
		_, err = io.WriteString(out, piece)
		require.NoError(t, err)
	}
	if out.Finish() {
		_ = server.Close()
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return out, "", err
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return out, string(data), err
}

func TestWhatAPeerReadsAgreesWithTheEnding(t *testing.T) {
	const whole = "data: 1\n\ndata: 2\n\ndata: 3\n\n"
	for framing := WithLength; framing <= Unframed; framing++ {
		for stop := AtItsEnd; stop < stopCount; stop++ {
			for _, end := range []Close{InGoodOrder, ByReset, WithProcess} {
				e := Ending{Framing: framing, Stop: stop, Close: end}
				if !e.possible(true) {
					continue
				}
				out, body, err := exchange(t, e)
				require.Equal(t, e.Whole(), out.Whole(), "%+v", e)
				require.Equal(t, e.Broken(), out.Broken(), "%+v", e)
				if e.Whole() && end != ByReset {
					require.NoError(t, err, "%+v", e)
					require.Equal(t, whole, body, "%+v", e)
				}
				if e.Broken() {
					complete := err == nil && strings.HasSuffix(body, "\n\n")
					require.False(t, complete && end != WithProcess, "%+v looks complete: %q", e, body)
				}
			}
		}
	}
}

func TestDrawnEndingsAreThoseOfTheSharesAndTheSeed(t *testing.T) {
	settings := Settings{DrawnPercent: 100, CutPercent: 25, ResetPercent: 25, OpenPercent: 5, ProcessEndPercent: 5, Seed: 3}
	one, other := NewDrawer(settings), NewDrawer(settings)
	seen := make(map[Stop]int)
	for i := range 4000 {
		stream := i%2 == 0
		e, drawn := one.Next(stream)
		again, _ := other.Next(stream)
		require.True(t, drawn)
		require.Equal(t, e, again)
		require.True(t, e.possible(stream), "%+v", e)
		seen[e.Stop]++
	}
	require.Len(t, seen, int(stopCount))
	require.Greater(t, seen[AtItsEnd], 2800)
	_, drawn := NewDrawer(Settings{}).Next(true)
	require.False(t, drawn)
	_, drawn = (*Drawer)(nil).Next(true)
	require.False(t, drawn)
}

func TestOddAnswersAreDrawnWithoutChangingTheOtherDraws(t *testing.T) {
	settings := Settings{DrawnPercent: 100, CutPercent: 25, ResetPercent: 25, Seed: 3}
	plain := NewDrawer(settings)
	settings.OddStatusPercent, settings.EarlyPercent = 20, 50
	odd := NewDrawer(settings)
	statuses, early := make(map[string]int), 0
	for range 2000 {
		before, _ := plain.Next(true)
		e, _ := odd.Next(true)
		statuses[e.Status()]++
		require.Equal(t, e.StatusLine != "" || before.Broken(), e.Broken())
		e.StatusLine = ""
		require.Equal(t, before, e)
		if answer, drawn := odd.NextEarly(); drawn {
			early++
			require.Equal(t, answer.Framing == Unframed, answer.Broken(), "%+v", answer)
		}
	}
	require.Len(t, statuses, 1+len(oddStatusLines))
	require.InDelta(t, 1600, statuses["200 OK"], 100)
	require.InDelta(t, 1000, early, 100)
	_, drawn := (*Drawer)(nil).NextEarly()
	require.False(t, drawn)
}
