package membership

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

func TestReplacedIncarnationLearnsItsReplacement(t *testing.T) {
	n := newNetwork(t, 2)
	n.addMany(5, "r1")
	old := n.cores[4]
	n.suspended[old] = true
	n.now = n.now.Add(time.Second)
	rival := n.add("r1-n4", "r1", "r1-d1")
	others := n.selectCores(func(c *core) bool { return c != old && c != rival })
	n.runUntil(time.Minute, func() bool {
		return n.allSee(others, []*core{old}, StateDead) && n.allSee(others, []*core{rival}, StateAlive)
	})
	n.run(time.Minute, func() {}) // long enough for the broadcasts to stop
	n.partitioned = func(a, b *core) bool { return a == rival || b == rival }
	n.suspended[old] = false
	n.runUntil(time.Minute, func() bool { return old.selfDead })
	e, found := old.newerIncarnation(old.self)
	require.True(t, found)
	require.Equal(t, rival.self, e.Incarnation)
	require.Equal(t, rival.table.entries[rival.self].Details, e.Details)
}

func TestLogNamesProcessWithSameNodeName(t *testing.T) {
	start := time.Now()
	var logs bytes.Buffer
	join := func(at time.Time, logger *slog.Logger, seeds ...string) *Cluster {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		self := Member{Incarnation: ident.NewIncarnation("n1", at), Node: "n1", Region: "r1", PeerAddress: conn.LocalAddr().String()}
		c := New(Options{Self: self, Seeds: seeds, Conn: conn, Token: "secret", Timing: fastTiming(), Logger: logger})
		c.Start(t.Context())
		t.Cleanup(c.Stop)
		return c
	}
	old := join(start, slog.New(slog.NewJSONHandler(&logs, nil)))
	fresh := join(start.Add(time.Second), nil, old.options.Self.PeerAddress)
	<-old.DeclaredDead()
	rival, found := old.ReplacedBy()
	require.True(t, found)
	require.Equal(t, fresh.Self().Incarnation, rival.Incarnation)
	old.Stop()
	var line struct {
		Message      string `json:"msg"`
		Other        string `json:"other_incarnation"`
		OtherAddress string `json:"other_peer_address"`
		OwnAddress   string `json:"peer_address"`
		Settings     string `json:"settings"`
	}
	for _, text := range bytes.Split(bytes.TrimSpace(logs.Bytes()), []byte("\n")) {
		require.NoError(t, json.Unmarshal(text, &line))
		if line.Other != "" {
			break
		}
	}
	require.Contains(t, line.Message, "node names must be unique")
	require.Equal(t, string(rival.Incarnation), line.Other)
	require.Equal(t, fresh.options.Self.PeerAddress, line.OtherAddress)
	require.Equal(t, old.options.Self.PeerAddress, line.OwnAddress)
	require.Contains(t, line.Settings, "peerAdvertise")
	_, found = fresh.ReplacedBy()
	require.False(t, found)
}
