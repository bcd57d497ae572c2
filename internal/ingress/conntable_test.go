package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connBench is a ConnTable with a clock that the test moves.
type connBench struct {
	*ConnTable
	now time.Time
}

func newConnBench(conns int) *connBench {
	b := &connBench{now: time.Unix(1000, 0)}
	b.ConnTable = NewConnTable(ConnLimits{Conns: conns, HeadBytes: 10_000}, NewReceiveBuffers(0), func() time.Time { return b.now })
	return b
}

// open admits a connection from address, a second after the one before it.
func (b *connBench) open(address string) (*Conn, bool) {
	b.now = b.now.Add(time.Second)
	c := &Conn{TCPConn: new(net.TCPConn), table: b.ConnTable, address: address}
	return c, b.admit(c)
}

func (b *connBench) has(c *Conn) bool {
	_, found := b.conns[c]
	return found
}

func TestConnectionsOfTheCrowdedAddressGiveWay(t *testing.T) {
	b := newConnBench(10)
	ordinary, _ := b.open("o")
	for range 30 {
		_, admitted := b.open("crowd")
		require.True(t, admitted)
	}
	require.True(t, b.has(ordinary))
	require.Equal(t, 10, b.Usage().Conns)
	require.EqualValues(t, 21, b.Usage().Evicted)
}

func TestConnectionWithARequestIsNotClosedForANewOne(t *testing.T) {
	b := newConnBench(2)
	first, _ := b.open("a")
	second, _ := b.open("a")
	OnState(first, http.StateActive)
	OnState(second, http.StateActive)
	_, admitted := b.open("b")
	require.False(t, admitted)
	OnState(second, http.StateIdle)
	_, admitted = b.open("b")
	require.True(t, admitted)
	require.True(t, b.has(first))
	require.False(t, b.has(second))
}

func TestConnectionWhoseBodyStallsGivesWayButNotAYoungOne(t *testing.T) {
	b := newConnBench(2)
	stalled, _ := b.open("a")
	OnState(stalled, http.StateActive)
	stalled.startBody(100)
	whole, _ := b.open("a")
	OnState(whole, http.StateActive)
	whole.startBody(100)
	whole.endBody()
	_, admitted := b.open("b")
	require.True(t, admitted)
	require.False(t, b.has(stalled))
	require.True(t, b.has(whole), "a request that has arrived whole is not ended")
	b = newConnBench(1)
	young, _ := b.open("a")
	OnState(young, http.StateActive)
	young.startBody(100)
	_, admitted = b.open("b")
	require.False(t, admitted)
	require.True(t, b.has(young))
}

func TestConnectionWhoseClientTakesNoResponseGivesWayLast(t *testing.T) {
	b := newConnBench(3)
	stalled, _ := b.open("a")
	OnState(stalled, http.StateActive)
	stalled.writingSince.Store(b.now.UnixNano())
	running, _ := b.open("a")
	OnState(running, http.StateActive)
	idle, _ := b.open("a")
	_, admitted := b.open("b")
	require.True(t, admitted)
	require.False(t, b.has(idle))
	require.True(t, b.has(stalled))
	b.now = b.now.Add(evictionAge)
	last, admitted := b.open("c")
	require.True(t, admitted)
	OnState(last, http.StateActive)
	_, admitted = b.open("d")
	require.True(t, admitted)
	require.False(t, b.has(stalled))
	require.True(t, b.has(running), "it is being answered")
}

func TestReceiveBuffersShrinkAsMoreConnectionsHaveOneAndAreReturned(t *testing.T) {
	b := newConnBench(1000)
	b.buffers = NewReceiveBuffers(64)
	var conns []*Conn
	last := int64(maxReceiveBuffer)
	for range 1000 {
		c, _ := b.open("a")
		OnState(c, http.StateActive)
		size := b.grantBuffer(c, 4<<20)
		require.LessOrEqual(t, size, last)
		if size > 0 {
			require.Greater(t, size, int64(baseReceiveBuffer))
			require.Zero(t, b.grantBuffer(c, 4<<20), "a connection has one grant")
		}
		last = size
		conns = append(conns, c)
	}
	require.LessOrEqual(t, b.buffers.Granted(), b.buffers.budget)
	var upstreams []int64
	for range 1000 {
		upstreams = append(upstreams, b.buffers.Grant(64<<10))
		require.GreaterOrEqual(t, upstreams[len(upstreams)-1], int64(minReceiveBuffer))
	}
	require.LessOrEqual(t, b.buffers.Granted(), b.buffers.budget+1000*kernelBufferFactor*minReceiveBuffer)
	for _, c := range conns {
		_ = c.Close() // it was never connected
	}
	for _, size := range upstreams {
		b.buffers.Return(size)
	}
	require.Zero(t, b.buffers.Granted())
}

func TestOpenHeadGivesWayBeforeAnOlderIdleConnection(t *testing.T) {
	b := newConnBench(2)
	idle, _ := b.open("a")
	head, _ := b.open("a")
	b.addHeadBytes(head, 100)
	_, admitted := b.open("a")
	require.True(t, admitted)
	require.True(t, b.has(idle))
	require.False(t, b.has(head))
}

func TestHeadsThatNeverEndAreBoundedTogether(t *testing.T) {
	b := newConnBench(100)
	ordinary, _ := b.open("o")
	b.addHeadBytes(ordinary, 500)
	for range 50 {
		c, _ := b.open("crowd")
		b.addHeadBytes(c, 4000)
		require.LessOrEqual(t, b.Usage().HeadBytes, int64(10_000))
	}
	require.True(t, b.has(ordinary))
}

func TestBytesOfBodiesAreNotTakenAsHeads(t *testing.T) {
	b := newConnBench(10)
	c, _ := b.open("a")
	b.addHeadBytes(c, 300)
	OnState(c, http.StateActive)
	b.addHeadBytes(c, 1<<20)
	require.Zero(t, b.Usage().HeadBytes)
	require.True(t, b.has(c))
}

func TestClosedConnectionsLeaveTheTable(t *testing.T) {
	b := newConnBench(10)
	c, _ := b.open("a")
	b.addHeadBytes(c, 300)
	_ = c.Close() // it was never connected
	_ = c.Close()
	require.Equal(t, ConnUsage{}, b.Usage())
	require.Empty(t, b.byAddress)
}

func TestClientsAndUpstreamsFitIntoTheDescriptors(t *testing.T) {
	const internalListeners = 4
	for _, descriptors := range []int{3075, 4100, 8192, 10250} {
		clients := ClientConnLimits(descriptors, 0).Conns
		all := 2*clients + internalListeners*InternalConnLimits(descriptors, 0).Conns
		require.Less(t, all, descriptors-reservedDescriptors)
	}
}
