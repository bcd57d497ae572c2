package peer

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/bounded"
)

func TestEndlessHandshakeIsAborted(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	written := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
		piece := []byte(strings.Repeat("x", 1<<10))
		total := 0
		for total < 1<<30 {
			n, err := conn.Write(piece)
			total += n
			if err != nil {
				break
			}
		}
		written <- total
	}()
	_, err = Dialer{}.dialRPC(t.Context(), listener.Addr().String())
	require.ErrorIs(t, err, bounded.ErrTooLong)
	require.Less(t, <-written, 16<<20, "no more than fits into kernel buffers")
}
