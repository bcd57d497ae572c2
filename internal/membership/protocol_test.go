package membership

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// encodeWithUnknownFields encodes a record with additional fields, as a later release
// does.
func encodeWithUnknownFields(own record, unknown ...any) []byte {
	return encode(func(w writer) {
		own.write(w, 0)
		for _, field := range unknown {
			_ = w.encoder.Encode(field)
		}
		w.buffer.Bytes()[0] += byte(len(unknown)) // the length of a msgpack fixarray
	})
}

func laterReleaseRecord() record {
	return recordOf(Member{
		Incarnation: incarnationN("n9", 1), PeerAddress: "10.0.0.200:7", Region: "r1", FailureDomain: "d1", Protocol: 2,
	})
}

// laterReleaseBody returns the body of a datagram sent by a later release.
func laterReleaseBody() []byte {
	own := laterReleaseRecord()
	return append(encode((&header{From: own.Incarnation}).write), encodeWithUnknownFields(own, "zone", true, 7, []byte("rack"))...)
}

func TestUnknownFieldsAreForwarded(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(3, "r1")
	own := laterReleaseRecord()
	written := encodeWithUnknownFields(own, "zone", true)
	head := encode(func(w writer) {
		(&header{Kind: kindUpdates, From: own.Incarnation}).write(w)
		w.flag(true)
		w.buffer.Bytes()[0]++
	})
	data := append(make([]byte, tagBytes), head...)
	data = append(data, written...)
	n.cores[0].authenticator.sign(data)
	n.cores[0].receive(n.now, "10.0.0.200:7", data)
	require.Zero(t, n.cores[0].stats.Rejected)

	for _, c := range n.cores {
		n.runUntil(testTimeout, func() bool { e, known := c.table.entries[own.Incarnation]; return known && e.complete() })
		e := c.table.entries[own.Incarnation]
		require.Equal(t, Protocol(2), e.Details.Protocol)
		require.Equal(t, own.Details.PeerAddress, e.Details.PeerAddress)
		require.True(t, bytes.HasSuffix(encodeRecord(e.record, 0), written[len(written)-len("\xa4zone\xc3"):]))
	}
}

func TestUnknownFieldsAreInTheRecordHash(t *testing.T) {
	own := laterReleaseRecord()
	written := encodeWithUnknownFields(own, "zone", true)
	d, err := decode(append(encode((&header{From: own.Incarnation}).write), written...))
	require.NoError(t, err)
	require.Equal(t, xxhash.Sum64(written), d.items[0].Record.hash())
	require.Equal(t, xxhash.Sum64(encodeWithUnknownFields(own)), own.hash())
}

func TestMalformedRecordsAreRejected(t *testing.T) {
	fewer := encodeRecord(laterReleaseRecord(), 0)
	fewer[0]--
	many := make([]any, maxUnknownFields+1)
	cases := map[string][]byte{
		"too few fields":          fewer[:len(fewer)-1],
		"array as unknown field":  encodeWithUnknownFields(laterReleaseRecord(), []string{"zone"}),
		"unknown fields too long": encodeWithUnknownFields(laterReleaseRecord(), strings.Repeat("z", maxUnknownBytes)),
		"truncated unknown field": encodeWithUnknownFields(laterReleaseRecord(), "zone")[:len(fewer)+2],
		"too many fields": encode(func(w writer) {
			w.array(recordFields + len(many))
			for range recordFields + len(many) {
				w.text("")
			}
		}),
	}
	for name, encoded := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := decode(append(encode((&header{From: incarnationN("n9", 1)}).write), encoded...))
			require.True(t, errors.Is(err, errBadDatagram), "got %v", err)
		})
	}
}

func TestMembersWithDifferentProtocolsAreMarkedIncompatible(t *testing.T) {
	protocols := []Protocol{1, 2, 1, 2}
	clusters := startClusterOf(t, protocols...)
	for i, c := range clusters {
		for j, other := range clusters {
			m, known := c.Lookup(other.Self().Incarnation)
			require.True(t, known, "member %d is unknown to member %d", j, i)
			require.Equal(t, protocols[j], m.Protocol)
			require.Equal(t, protocols[i] != protocols[j], m.Foreign)
		}
	}
}

func TestCurrentProtocolIsTheDefault(t *testing.T) {
	self := startCluster(t, 1)[0].Self()
	require.Equal(t, CurrentProtocol, self.Protocol)
	require.True(t, self.Usable())
	self.Foreign = true
	require.False(t, self.Usable())
}
