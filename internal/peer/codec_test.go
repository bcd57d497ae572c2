package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// bufferConn is a connection that reads from and writes to buffers.
type bufferConn struct {
	io.Reader
	io.Writer
}

func (bufferConn) Close() error { return nil }

func frameOf(payload []byte) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(payload))), payload...)
}

func TestMethodNamesAreSentOnce(t *testing.T) {
	var wire bytes.Buffer
	client := newClientCodec(bufferConn{Writer: &wire})
	var lengths []int
	for seq := range uint64(3) {
		before := wire.Len()
		require.NoError(t, client.WriteRequest(&rpc.Request{ServiceMethod: "Echo.Echo", Seq: seq}, &EchoArgs{Text: "hi"}))
		lengths = append(lengths, wire.Len()-before)
	}
	require.Equal(t, lengths[1], lengths[2])
	require.Equal(t, lengths[0], lengths[1]+len("Echo.Echo")+1)

	server := newServerCodec(bufferConn{Reader: &wire}, nil)
	for seq := range uint64(3) {
		var request rpc.Request
		require.NoError(t, server.ReadRequestHeader(&request))
		require.Equal(t, rpc.Request{ServiceMethod: "Echo.Echo", Seq: seq}, request)
		var args EchoArgs
		require.NoError(t, server.ReadRequestBody(&args))
		require.Equal(t, "hi", args.Text)
	}
	require.ErrorIs(t, server.ReadRequestHeader(new(rpc.Request)), io.EOF)
}

// unencodable cannot be encoded as msgpack.
type unencodable struct{ C chan int }

func TestConnectionIsUsableAfterEncodingError(t *testing.T) {
	var wire bytes.Buffer
	client := newClientCodec(bufferConn{Writer: &wire})
	require.Error(t, client.WriteRequest(&rpc.Request{ServiceMethod: "Echo.Echo"}, &unencodable{C: make(chan int)}))
	require.Zero(t, wire.Len())
	require.NoError(t, client.WriteRequest(&rpc.Request{ServiceMethod: "Echo.Echo", Seq: 1}, &EchoArgs{}))
	var request rpc.Request
	require.NoError(t, newServerCodec(bufferConn{Reader: &wire}, nil).ReadRequestHeader(&request))
	require.Equal(t, "Echo.Echo", request.ServiceMethod, "a name that was not sent must not be replaced by its number")
}

func TestBadFramesAreRefused(t *testing.T) {
	tooLong := binary.AppendUvarint(nil, maxFrameBytes+1)
	cases := map[string]struct {
		wire []byte
		want error
	}{
		"end between frames":         {nil, io.EOF},
		"end within a frame":         {binary.AppendUvarint(nil, 100), io.ErrUnexpectedEOF},
		"huge length and no bytes":   {binary.AppendUvarint(nil, maxFrameBytes), io.ErrUnexpectedEOF},
		"too long":                   {tooLong, errBadFrame},
		"empty":                      {frameOf(nil), errBadFrame},
		"unknown method":             {frameOf([]byte{1, 1}), errBadFrame},
		"name longer than its frame": {frameOf([]byte{1, 0, 9, 'x'}), errBadFrame},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := newServerCodec(bufferConn{Reader: bytes.NewReader(c.wire)}, nil).ReadRequestHeader(new(rpc.Request))
			require.True(t, errors.Is(err, c.want), "got %v", err)
		})
	}
}

func FuzzServerCodec(f *testing.F) {
	f.Add(frameOf([]byte{1, 0, 1, 'x', 0x81, 0xa4, 'T', 'e', 'x', 't', 0xa2, 'h', 'i'}))
	f.Add(frameOf([]byte{1, 0, 1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(_ *testing.T, wire []byte) {
		server := newServerCodec(bufferConn{Reader: bytes.NewReader(wire)}, nil)
		for server.ReadRequestHeader(new(rpc.Request)) == nil {
			_ = server.ReadRequestBody(new(EchoArgs))
		}
	})
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var done sync.WaitGroup
	for n := range 64 {
		done.Go(func() {
			text := strings.Repeat(string(rune('a'+n%26)), 1<<(n%20))
			var reply EchoArgs
			if err := client.Call(ctx, address, "Echo.Echo", &EchoArgs{Text: text}, &reply); err != nil || reply.Text != text {
				t.Errorf("call %d failed or got another reply: error %v, %d bytes", n, err, len(reply.Text))
			}
		})
	}
	done.Wait()
}

func TestOtherEncodingIsRefused(t *testing.T) {
	address := startServer(t, "secret")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "CONNECT /rpc HTTP/1.1\r\nHost: peer\r\n"+tokenHeader+": secret\r\n\r\n")
	require.NoError(t, err)
	answer := make([]byte, len("HTTP/1.1 404"))
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 404", string(answer))
}
