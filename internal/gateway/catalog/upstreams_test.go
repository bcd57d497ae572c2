package catalog

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// testEntry is the format of the entries in these tests.
type testEntry struct {
	Service  string
	Address  string
	Draining bool
}

func decodeTestEntry(object objects.Object) (site.Upstream, error) {
	var e testEntry
	if err := json.Unmarshal(object.Spec, &e); err != nil || e.Service == "" {
		return site.Upstream{ID: object.Metadata.Name}, errors.New("malformed")
	}
	address, err := netip.ParseAddrPort(e.Address)
	return site.Upstream{ID: object.Metadata.Name, Service: e.Service, Address: address, Draining: e.Draining}, err
}

// testCatalog is a catalog whose clock the test sets.
type testCatalog struct {
	*Upstreams
	time time.Time
}

func newTestCatalog() *testCatalog {
	c := &testCatalog{time: time.Unix(1000, 0)}
	c.Upstreams = NewUpstreams(decodeTestEntry, slog.New(slog.DiscardHandler), func() time.Time { return c.time })
	return c
}

func (c *testCatalog) wait(d time.Duration) { c.time = c.time.Add(d) }

func testObject(name string, version objects.Version, e testEntry) objects.Object {
	spec, _ := json.Marshal(e)
	return objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: version}, Spec: spec}
}

func readyObject(name string, version objects.Version) objects.Object {
	return testObject(name, version, testEntry{Service: "pool", Address: "10.0.0.1:80"})
}

func (c *testCatalog) ready() []string {
	var out []string
	for _, u := range c.View().ByService["pool"] {
		out = append(out, u.ID)
	}
	return out
}

func TestADrainingOrRemovedUpstreamIsInNoLaterView(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	c.Put(readyObject("b", 2))
	c.Put(testObject("a", 3, testEntry{Service: "pool", Address: "10.0.0.1:80", Draining: true}))
	require.Equal(t, []string{"b"}, c.ready())
	c.Remove(readyObject("b", 4))
	require.Empty(t, c.ready())
}

func TestAMalformedEntryDefinesNoUpstreamAndKeepsTheOthers(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	c.Put(objects.Object{Metadata: objects.Metadata{Name: "b", ResourceVersion: 2}, Spec: json.RawMessage(`"?"`)})
	require.Equal(t, []string{"a"}, c.ready())
	c.Put(objects.Object{Metadata: objects.Metadata{Name: "a", ResourceVersion: 3}, Spec: json.RawMessage(`{"Service":7}`)})
	require.Empty(t, c.ready())
}

func TestAnOlderEntryIsIgnored(t *testing.T) {
	c := newTestCatalog()
	c.Put(testObject("a", 5, testEntry{Service: "pool", Address: "10.0.0.1:80", Draining: true}))
	c.Put(readyObject("a", 4))
	require.Empty(t, c.ready())
}

func TestEntriesThatExpiredDuringAStoreOutageAreKeptForTheGracePeriod(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	c.Put(readyObject("b", 2))
	c.wait(5 * time.Second)
	c.RecordFailure()
	c.Replace(objects.List{})
	require.Equal(t, []string{"a", "b"}, c.ready())
	require.Equal(t, int64(1), c.Outages())
	c.wait(time.Second)
	c.Put(readyObject("a", 9))
	c.wait(1500 * time.Millisecond)
	c.RemoveExpired()
	require.Equal(t, []string{"a"}, c.ready(), "b was not registered again")
}

func TestAnEntryRemovedAfterTheStoreReturnedIsGoneAtOnce(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	c.wait(5 * time.Second)
	c.RecordFailure()
	c.RecordContact(0)
	c.wait(700 * time.Millisecond)
	c.Remove(readyObject("a", 2))
	require.Empty(t, c.ready())
}

func TestAMissingEntryIsGoneAtOnceIfOtherNodesReachedTheStore(t *testing.T) {
	c := newTestCatalog()
	c.ReachableByPeers = func() bool { return true }
	c.Put(readyObject("a", 1))
	c.wait(5 * time.Second)
	c.RecordFailure()
	c.Replace(objects.List{})
	require.Empty(t, c.ready())
}

// TestAMissingEntryIsGoneAtOnceAfterAGapWithoutAFailedCall guards against nodes that take the end of
// the nodes that they followed for an outage of the store.
func TestAMissingEntryIsGoneAtOnceAfterAGapWithoutAFailedCall(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	c.Put(readyObject("b", 2))
	c.RecordFailure() // before the last contact
	c.wait(100 * time.Millisecond)
	c.RecordPeerContact(0)
	c.wait(2 * time.Second)
	c.Replace(objects.List{Items: []objects.Object{readyObject("a", 1)}})
	require.Equal(t, []string{"a"}, c.ready())
	require.Zero(t, c.Outages())
}

func TestAnUpdateFromANodeThatIsBehindIsIgnored(t *testing.T) {
	behind, ahead := newTestCatalog(), newTestCatalog()
	first := objects.List{Items: []objects.Object{readyObject("gone", 1), readyObject("stays", 2)}}
	first.Metadata.ResourceVersion = 2
	behind.Replace(first)
	ahead.Replace(first)
	ahead.Remove(readyObject("gone", 1))
	ahead.Put(readyObject("new", 4))
	ahead.RecordContact(4)
	for name, update := range map[string]Update{
		"a node that has not listed the store": newTestCatalog().UpdateSince(0),
		"a node that is behind":                behind.UpdateSince(0),
	} {
		ahead.Apply(&update)
		require.Equal(t, []string{"new", "stays"}, ahead.ready(), name)
	}
	update := ahead.UpdateSince(0)
	behind.Apply(&update)
	require.Equal(t, []string{"new", "stays"}, behind.ready())
}
