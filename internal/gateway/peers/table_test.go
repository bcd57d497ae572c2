package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutdatedMessageIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	require.True(t, table.Update(&Message{Node: "a", Incarnation: "2", Sequence: 5, ConfigVersion: 7}))
	require.False(t, table.Update(&Message{Node: "a", Incarnation: "2", Sequence: 4, ConfigVersion: 6}))
	require.False(t, table.Update(&Message{Node: "a", Incarnation: "1", Sequence: 9, ConfigVersion: 6}))
	require.Equal(t, int64(7), table.Alive()[0].ConfigVersion)
}

func TestNewProcessIsAcceptedAfterClockWasSetBack(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	table.Update(&Message{Node: "a", Incarnation: "5", Sequence: 9})
	require.False(t, table.Update(&Message{Node: "a", Incarnation: "3", Sequence: 1}))
	now = now.Add(2 * minAliveTimeout)
	require.True(t, table.Update(&Message{Node: "a", Incarnation: "3", Sequence: 2}))
	require.Equal(t, "3", table.Alive()[0].Incarnation)
}

func TestLastMessageOfEndedProcessIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(func() time.Time { return now })
	counts := map[int64]map[string]int64{1: {"w": 3}}
	table.Update(&Message{Node: "a", Incarnation: "1", Sequence: 1, Usage: counts})
	table.Update(&Message{Node: "a", Incarnation: "2", Sequence: 1, Usage: counts})
	sum := int64(0)
	for _, p := range table.All() {
		sum += p.Usage[1]["w"]
	}
	require.Equal(t, int64(6), sum, "both processes counted")
	now = now.Add(2 * time.Second)
	require.Empty(t, table.Alive())
	require.Len(t, table.All(), 2)
	now = now.Add(retention)
	table.RemoveExpired()
	require.Empty(t, table.All())
}

func TestOmittedFieldsKeepTheirLastValue(t *testing.T) {
	table := NewTable(func() time.Time { return time.Unix(1000, 0) })
	table.Update(&Message{
		Node: "a", Incarnation: "1", Sequence: 1, Spent: map[string]float64{"w": 1}, Loads: []Load{{Upstream: 7, Requests: 1}},
		Usage: map[int64]map[string]int64{1: {"w": 3}}, Demand: map[string]Demand{"s": {Prefill: 5}},
	})
	brief, err := (&Message{Node: "a", Incarnation: "1", Sequence: 2, ConfigVersion: 9}).encode()
	require.NoError(t, err)
	m, err := decodeMessage(brief)
	require.NoError(t, err)
	table.Update(m)
	p := table.Alive()[0]
	require.Equal(t, int64(9), p.ConfigVersion)
	require.Len(t, p.Loads, 1)
	require.Equal(t, 1.0, p.Spent["w"])
	require.Equal(t, int64(3), p.Usage[1]["w"])
	require.Equal(t, 5.0, p.Demand["s"].Prefill)

	idle, err := (&Message{Node: "a", Incarnation: "1", Sequence: 3, Loads: []Load{}}).encode()
	require.NoError(t, err)
	m, err = decodeMessage(idle)
	require.NoError(t, err)
	table.Update(m)
	require.Empty(t, table.Alive()[0].Loads, "an empty list replaces the earlier one")

	table.Update(&Message{Node: "a", Incarnation: "2", Sequence: 1})
	require.Nil(t, table.Alive()[0].Spent, "the earlier value is of another process")
}

func FuzzMessage(f *testing.F) {
	data, _ := (&Message{Node: "a", Incarnation: "1", Spent: map[string]float64{"w": 1}, Loads: []Load{{Upstream: 1}}}).encode()
	f.Add(data)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err == nil && (m.Node == "" || m.Incarnation == "") {
			t.Fatal("accepted a message without node or incarnation")
		}
	})
}
