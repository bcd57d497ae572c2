package membership

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sampleBodies returns the body of a datagram of each kind.
func sampleBodies() [][]byte {
	own := recordOf(Member{Incarnation: incarnationN("n1", 1), PeerAddress: "127.0.0.1:1", Region: "r1", FailureDomain: "d1"})
	ended := record{Incarnation: incarnationN("n2", 1), Final: finalLeft, Successor: own.Incarnation}
	rumour := Rumour{Topic: TopicLeaving, Key: "host/h1", Version: 3, Payload: []byte("notice")}
	var out [][]byte
	for k := kindUpdates; k <= kindSyncReply; k++ {
		h := header{Kind: k, From: own.Incarnation, Seq: 9, Target: ended.Incarnation, Address: "127.0.0.1:2"}
		if k >= kindSync {
			h.Digest = make(digest, digestBytes)
		}
		body := encode(h.write)
		body = append(body, encodeRecord(own, 0)...)
		body = append(body, encodeRecord(ended, time.Hour)...)
		body = append(body, encodeRumour(rumour, time.Minute)...)
		out = append(out, body)
	}
	return out
}

func TestDecodeRoundTrip(t *testing.T) {
	for k, body := range sampleBodies() {
		d, err := decode(body)
		require.NoError(t, err)
		require.Equal(t, kind(k), d.Kind)
		require.Len(t, d.items, 3)
		require.Equal(t, finalLeft, d.items[1].Record.Final)
		require.Equal(t, "notice", string(d.items[2].Rumour.Payload))
	}
}

func TestVerifyRejectsModifiedDatagrams(t *testing.T) {
	s := newAuthenticator("secret")
	data := append(make([]byte, tagBytes), sampleBodies()[0]...)
	s.sign(data)
	_, err := s.verify(data)
	require.NoError(t, err)
	for i := range data {
		data[i] ^= 1
		_, err := s.verify(data)
		require.ErrorIs(t, err, errNotAuthentic)
		data[i] ^= 1
	}
	_, err = s.verify(data[:tagBytes-1])
	require.ErrorIs(t, err, errNotAuthentic)
}

// FuzzReceive passes authenticated datagrams to a member: it must not panic, must keep its
// own record, and what it decodes must be valid.
func FuzzReceive(f *testing.F) {
	for _, body := range sampleBodies() {
		f.Add(body)
	}
	f.Add(laterReleaseBody())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		d, err := decode(body)
		if err == nil {
			require.NoError(t, d.validate())
		}
		n := newNetwork(t, 1)
		c := n.add("n9", "r1", "d1")
		data := append(make([]byte, tagBytes), body...)
		c.authenticator.sign(data)
		c.receive(n.now, "127.0.0.1:9", data)
		c.tick(n.now.Add(time.Second))
		for _, p := range c.outgoing {
			require.LessOrEqual(t, len(p.data), maxDatagramBytes)
		}
		require.Contains(t, c.table.entries, c.self)
	})
}

// Guards against claimed lengths of gigabytes that make decode allocate far more than the
// datagram holds.
func TestDecodeAllocationIsBoundedByDatagram(t *testing.T) {
	const runs, maxBytesPerRun = 20, 64 << 10
	for _, body := range append(sampleBodies(), laterReleaseBody()) {
		for position := range len(body) - 5 {
			for _, code := range []byte{0xc6, 0xc9, 0xdb, 0xdd, 0xdf} { // bin, ext, str, array, map of 32 bits
				claim := slices.Clone(body)
				copy(claim[position:], []byte{code, 0x7f, 0xff, 0xff, 0xff})
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for range runs {
					_, _ = decode(claim)
				}
				runtime.ReadMemStats(&after)
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(runs*maxBytesPerRun))
			}
		}
	}
}
