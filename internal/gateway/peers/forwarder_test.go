package peers

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// testReceiver is a messenger without a socket, and what it received and forwarded.
type testReceiver struct {
	*Messenger
	received []Message
	// forwarded holds the datagrams sent to each address.
	forwarded map[string][][]byte
}

func newTestReceiver(targets ...string) *testReceiver {
	r := &testReceiver{forwarded: make(map[string][][]byte)}
	table := NewTable(time.Now)
	r.Messenger = &Messenger{
		Has: table.Has,
		OnMessage: func(m *Message) {
			if table.Update(m) {
				r.received = append(r.received, *m)
			}
		},
		forwarder: newForwarder(func() []string { return targets },
			func(data []byte, address string) { r.forwarded[address] = append(r.forwarded[address], data) }, slog.Default()),
	}
	return r
}

// datagramOf returns the datagram of a message.
func datagramOf(t *testing.T, m Message) []byte {
	t.Helper()
	data, err := m.encode()
	require.NoError(t, err)
	return data
}

func TestMessagesAreForwardedTogetherAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay := newTestReceiver("10.0.0.2:1", "10.0.0.3:1")
		go relay.forwarder.run(t.Context())
		message := func(node string, sequence uint64) Message {
			return Message{Node: node, Incarnation: "1", Sequence: sequence, Forward: true, Spent: map[string]float64{"w1": float64(sequence)}}
		}
		require.NoError(t, relay.handle(datagramOf(t, message("a", 1))))
		require.NoError(t, relay.handle(datagramOf(t, message("b", 1))))
		require.NoError(t, relay.handle(datagramOf(t, message("a", 2))))
		require.NoError(t, relay.handle(datagramOf(t, Message{Node: "c", Incarnation: "1", Sequence: 1})))
		time.Sleep(2 * forwardDelay)
		synctest.Wait()
		require.Len(t, relay.received, 4)
		require.Len(t, relay.forwarded["10.0.0.2:1"], 1)
		require.Equal(t, relay.forwarded["10.0.0.2:1"], relay.forwarded["10.0.0.3:1"])

		receiver := newTestReceiver("10.0.0.4:1")
		go receiver.forwarder.run(t.Context())
		require.NoError(t, receiver.handle(datagramOf(t, message("b", 1))))
		require.NoError(t, receiver.handle(relay.forwarded["10.0.0.2:1"][0]))
		require.Len(t, receiver.received, 2, "the message of b was received before")
		require.Equal(t, message("a", 2), receiver.received[1])
		require.NoError(t, receiver.handle(relay.forwarded["10.0.0.2:1"][0]))
		require.Len(t, receiver.received, 2, "a bundle that came twice")
	})
}

func TestForwarderKeepsOneMessagePerNodeInBundlesOfLimitedSize(t *testing.T) {
	f := newForwarder(nil, nil, slog.Default())
	for sequence := range uint64(3) {
		for node := range 20 {
			f.add(&Message{Node: fmt.Sprint(node), Incarnation: "1", Sequence: sequence}, make([]byte, 1000))
		}
	}
	bundles := f.take()
	require.Len(t, bundles, 3)
	seen := make(map[string]uint64)
	for _, b := range bundles {
		size := 0
		for _, m := range b {
			seen[m.Node] = m.Sequence
			size += len(m.Data)
		}
		require.LessOrEqual(t, size, maxBundleBytes)
	}
	require.Len(t, seen, 20)
	for node, sequence := range seen {
		require.Equal(t, uint64(2), sequence, node)
	}
	require.Empty(t, f.take())
}

func TestInvalidBundleIsRejected(t *testing.T) {
	r := newTestReceiver()
	valid := datagramOf(t, Message{Node: "a", Incarnation: "1", Sequence: 1})
	mixed, err := bundle{{Node: "b", Incarnation: "1", Sequence: 1, Data: []byte{0x81}}, {Node: "a", Incarnation: "1", Sequence: 1, Data: valid}}.encode()
	require.NoError(t, err)
	require.Error(t, r.handle(mixed))
	require.Len(t, r.received, 1, "the valid message beside an invalid one")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, data := range [][]byte{{}, {0x90 | 1}, {0xdd, 0x7f, 0xff, 0xff, 0xff}, {0x91, 0xdd, 0x7f, 0xff, 0xff, 0xff}, {0x91, 0x94, 0xa1, 'a', 0xa1, '1', 1, 0xc6, 0x7f, 0xff, 0xff, 0xff}} {
		require.Error(t, r.handle(data), "%x", data)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(16<<20))
}

func FuzzBundle(f *testing.F) {
	valid, err := bundle{{Node: "a", Incarnation: "1", Sequence: 1, Data: []byte{0x80}}}.encode()
	require.NoError(f, err)
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newTestReceiver()
		_ = r.handle(data) // must not panic
		if decoded, err := decodeBundle(data); err == nil {
			_, err = decoded.encode()
			require.NoError(t, err)
		}
	})
}
