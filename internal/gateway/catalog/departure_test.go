package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

func drainingObject(name string, version objects.Version) objects.Object {
	return testObject(name, version, testEntry{Service: "pool", Address: "10.0.0.1:80", Draining: true})
}

// upstreamOf returns the upstream of an entry.
func upstreamOf(t *testing.T, object objects.Object) site.Upstream {
	t.Helper()
	u, err := decodeTestEntry(object)
	require.NoError(t, err)
	return u
}

// TestDepartureTimesAreNotLaterThanTheStoreAcceptedTheReports guards against the lapse of an entry that is taken
// for its removal, because a report was delivered late.
func TestDepartureTimesAreNotLaterThanTheStoreAcceptedTheReports(t *testing.T) {
	c := newTestCatalog()
	c.Put(readyObject("a", 1))
	current := c.time
	c.RecordContact(1)
	c.wait(3 * time.Second) // the store is silent, and then delivers both reports
	c.Put(drainingObject("a", 2))
	c.Put(drainingObject("a", 3))
	got, known := c.Departure(upstreamOf(t, readyObject("a", 1)))
	require.True(t, known)
	require.Equal(t, current, got.DrainingAfter)
	require.Equal(t, current, got.ReportedAfter)
	require.Zero(t, got.RemovedAt)

	c.RecordContact(3)
	last := c.time
	c.wait(time.Second)
	c.Put(drainingObject("a", 4))
	c.RecordContact(4)
	c.wait(500 * time.Millisecond)
	c.Remove(drainingObject("a", 5))
	got, known = c.Departure(upstreamOf(t, readyObject("a", 1)))
	require.True(t, known)
	require.True(t, got.Last.Draining)
	require.Equal(t, current, got.DrainingAfter, "the first report of draining")
	require.Equal(t, last, got.ReportedAfter)
	require.Equal(t, c.time, got.RemovedAt)
}

// TestDepartureThroughAnotherNodeIsAsOldAsItsContactWithTheStore guards against reports that seem younger to a
// node that follows another one.
func TestDepartureThroughAnotherNodeIsAsOldAsItsContactWithTheStore(t *testing.T) {
	c := newTestCatalog()
	require.True(t, c.Apply(&Update{Sequence: 1, StoreVersion: 1, Full: true, Entries: []objects.Object{drainingObject("a", 1)}}))
	c.RecordPeerContact(800 * time.Millisecond)
	current := c.time.Add(-800 * time.Millisecond)
	c.wait(400 * time.Millisecond)
	require.True(t, c.Apply(&Update{Sequence: 2, StoreVersion: 2, Entries: []objects.Object{drainingObject("a", 2)}}))
	require.True(t, c.Apply(&Update{Sequence: 3, StoreVersion: 3, Removed: []string{"a"}}))
	got, known := c.Departure(upstreamOf(t, drainingObject("a", 1)))
	require.True(t, known)
	require.Equal(t, current, got.ReportedAfter)
	require.Equal(t, c.time, got.RemovedAt)
}

// TestDepartureOfAnEarlierIncarnationIsUnknown guards against the departure of a replica that is taken for that of
// the one which had its ID, or its address, before.
func TestDepartureOfAnEarlierIncarnationIsUnknown(t *testing.T) {
	c := newTestCatalog()
	earlier := upstreamOf(t, readyObject("a", 1))
	c.Put(drainingObject("a", 1))
	c.Put(testObject("a", 2, testEntry{Service: "pool", Address: "10.0.0.2:80", Draining: true}))
	_, known := c.Departure(earlier)
	require.False(t, known)
	c.Remove(readyObject("a", 3))
	_, known = c.Departure(earlier)
	require.False(t, known)
	c.Put(drainingObject("b", 4)) // at the earlier one's address
	_, known = c.Departure(earlier)
	require.False(t, known)
	c.Put(objects.Object{Metadata: objects.Metadata{Name: "b", ResourceVersion: 5}, Spec: []byte(`"odd"`)})
	_, known = c.Departure(upstreamOf(t, drainingObject("b", 4)))
	require.False(t, known, "an entry of another writer")
}
