package peer

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

type echoService struct {
	// ended is closed at the end of the test.
	ended chan struct{}
}

// EchoArgs is exported because net/rpc requires it.
type EchoArgs struct{ Text string }

func (echoService) Echo(args *EchoArgs, reply *EchoArgs) error {
	reply.Text = args.Text
	return nil
}

func (echoService) Fail(_ *EchoArgs, _ *EchoArgs) error {
	return EncodeError(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(time.Second))
}

func (s echoService) Hang(_ *EchoArgs, _ *EchoArgs) error {
	<-s.ended
	return nil
}

// startServer serves plain TCP to nodes with the token and returns its address.
func startServer(tb testing.TB, token string) string {
	tb.Helper()
	return startTLSServer(tb, token, nil)
}

func TestCallReturnsRepliesVerdictsAndTimeouts(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	var reply EchoArgs
	require.NoError(t, client.Call(ctx, address, "Echo.Echo", &EchoArgs{Text: "hi"}, &reply))
	require.Equal(t, "hi", reply.Text)

	err := client.Call(ctx, address, "Echo.Fail", &EchoArgs{}, &reply)
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, time.Second, refusal.RetryAfter)

	short, cancelShort := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelShort()
	err = client.Call(short, address, "Echo.Hang", &EchoArgs{}, &EchoArgs{})
	require.True(t, errors.Is(err, ErrTimeout), "got %v", err)
	require.False(t, IsNotSent(err))

	require.NoError(t, client.Call(ctx, address, "Echo.Echo", &EchoArgs{Text: "again"}, &reply))
	require.Equal(t, "again", reply.Text)
}

func TestCloseEndsRetiredConnections(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, address, "Echo.Hang", &EchoArgs{}, &EchoArgs{})
	require.True(t, errors.Is(err, ErrTimeout), "got %v", err)

	client.Close()

	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	require.NotContains(t, string(stacks), "peer.(*Client).")
}

func TestClosedServerDoesNotAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer("secret")
	go func() { _ = server.Serve(listener, nil) }()
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	address := listener.Addr().String()
	require.NoError(t, client.Call(ctx, address, pingMethod, &Ping{}, &Pong{}))

	require.NoError(t, server.Close())

	require.Error(t, client.Call(ctx, address, pingMethod, &Ping{}, &Pong{}), "a closed server must not answer")
}

func TestCallWithWrongTokenIsNotSent(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "other"})
	defer client.Close()
	err := client.Call(t.Context(), address, "Echo.Echo", &EchoArgs{}, &EchoArgs{})
	require.Error(t, err)
	require.True(t, IsNotSent(err))
}

// A caller may reuse reply after a cancelled call returns, so a reply that arrives at that
// moment or later must not be written to it.
func TestLateReplyIsNotWritten(t *testing.T) {
	const calls = 300
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	replies := make([]EchoArgs, calls)
	failed := make([]bool, calls)
	for i := range calls {
		callCtx, cancelCall := context.WithCancel(ctx)
		if i%2 == 0 {
			cancelCall()
		}
		go cancelCall()
		failed[i] = client.Call(callCtx, address, "Echo.Echo", &EchoArgs{Text: "late"}, &replies[i]) != nil
		replies[i].Text += "!"
	}
	client.Close()
	for i := range calls {
		if failed[i] {
			require.Equal(t, "!", replies[i].Text)
		}
	}
	require.Contains(t, failed, true)
}
