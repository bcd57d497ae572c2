package peer

import (
	"bytes"
	"encoding/binary"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongFramesOfAllConnectionsAreBounded(t *testing.T) {
	const length = 100 << 10
	limit := newFrameLimit(3 * length * frameCopies)
	var now, most atomic.Int64
	var all sync.WaitGroup
	for range 100 {
		all.Go(func() {
			leave := limit.enter(length)
			most.Store(max(most.Load(), now.Add(1)))
			now.Add(-1)
			leave()
			leave() // has no further effect
		})
	}
	all.Wait()
	require.LessOrEqual(t, most.Load(), int64(3))
	limit.enter(maxFrameBytes)() // over the limit, but alone
	limit.enter(shortFrameBytes)
	require.True(t, limit.free.TryAcquire(limit.capacity), "something is still held")
}

func TestFrameThatBreaksOffGivesItsMemoryBack(t *testing.T) {
	long := append(binary.AppendUvarint(nil, 1<<20), bytes.Repeat([]byte{0xff}, 1<<20)...)
	for name, wire := range map[string][]byte{"bad header": long, "cut off": long[:1<<19]} {
		t.Run(name, func(t *testing.T) {
			limit := newFrameLimit(8 << 20)
			codec := newServerCodec(bufferConn{Reader: bytes.NewReader(wire)}, limit)
			require.Error(t, codec.ReadRequestHeader(new(rpc.Request)))
			_ = codec.Close()
			require.True(t, limit.free.TryAcquire(limit.capacity))
		})
	}
}
