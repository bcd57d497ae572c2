package ingress

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const testCapacity = 16 << 20

// bench is an Account with a clock that the test moves.
type bench struct {
	*Account
	now time.Time
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Account = NewAccount(testCapacity, func() time.Time { return b.now })
	return b
}

func (b *bench) body(address, workspace string) *Body {
	return b.NewBody(nil, Owner{Address: address, Workspace: workspace}, b.now.Add(time.Minute), func(time.Time) error { return nil })
}

// arrive lets pieces arrive until the body has n bytes.
func (b *bench) arrive(body *Body, n int64) error {
	for body.arrived < n {
		size := min(n-body.arrived, pieceBytes)
		if err := b.reserve(body, size); err != nil {
			return err
		}
		body.add(make([]byte, size))
	}
	return nil
}

// fill lets bodies of 1 MiB arrive, all but their end, until one is refused.
func (b *bench) fill(t *testing.T, address, workspace string) []*Body {
	t.Helper()
	var out []*Body
	for range 2 * testCapacity >> 20 {
		body := b.body(address, workspace)
		if err := b.arrive(body, 1<<20-1); err != nil {
			require.ErrorIs(t, err, ErrFull)
			body.Release()
			return out
		}
		out = append(out, body)
	}
	t.Fatal("nothing was refused")
	return nil
}

func TestBodiesThatStallMakeRoomForAnotherOwner(t *testing.T) {
	b := newBench()
	b.fill(t, "a1", "w1")
	b.fill(t, "a2", "w1")
	b.now = b.now.Add(evictionAge)
	other := b.body("b", "w2")
	require.NoError(t, b.arrive(other, 4<<20))
	require.Positive(t, b.Usage().Evicted)
	require.LessOrEqual(t, b.Usage().Peak, int64(testCapacity))
}

func TestFullAccountRefusesNewcomersWhileNobodyIsSlow(t *testing.T) {
	b := newBench()
	crowd := b.fill(t, "a", "w")
	require.NotEmpty(t, crowd)
	require.Zero(t, b.Usage().Evicted)
	require.EqualValues(t, 1, b.Usage().Full)
}

func TestCrowdDoesNotEvictBodiesOfALighterOwner(t *testing.T) {
	b := newBench()
	light := b.body("b", "w2")
	require.NoError(t, b.arrive(light, 1<<20))
	b.fill(t, "a", "w1")
	b.now = b.now.Add(time.Hour)
	for range 100 {
		newcomer := b.body("a", "w1")
		_ = b.arrive(newcomer, 1<<20) // it may be refused
	}
	require.False(t, light.evicted)
}

func TestSlowestBodyOfAnOwnerGivesWayFirst(t *testing.T) {
	b := newBench()
	crowd := b.fill(t, "a", "w")
	slow := crowd[len(crowd)/2]
	slow.startedAt = slow.startedAt.Add(-time.Minute)
	b.now = b.now.Add(evictionAge)
	require.NoError(t, b.arrive(b.body("a", "w"), 1<<20-1))
	require.True(t, slow.evicted)
	require.EqualValues(t, 1, b.Usage().Evicted)
}

func TestWholeBodiesOfOneOwnerLeaveRoomForOthersAndForSmallOnes(t *testing.T) {
	b := newBench()
	for _, body := range b.fill(t, "a", "w") {
		delete(b.receiving, body) // whole: never evicted
	}
	b.now = b.now.Add(time.Hour)
	require.NoError(t, b.arrive(b.body("b", "v"), 1<<20), "another owner")
	b.fill(t, "c", "x")
	require.NoError(t, b.arrive(b.body("a", "w"), smallBodyBytes), "a small body of the crowd's owner")
}

func TestLargestLegalBodyIsServedInCalmOnTheSmallestHost(t *testing.T) {
	a := NewAccount(Capacity(144), time.Now)
	body := a.NewBody(nil, Owner{"a", "w"}, time.Now().Add(time.Minute), func(time.Time) error { return nil })
	data := bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)
	require.NoError(t, body.Receive(iotest.OneByteReader(bytes.NewReader(data[:100_000])), 100_000))
	require.Equal(t, data[:100_000], bytes.Join(body.Pieces(), nil))
	for _, length := range []int64{int64(len(data)), -1} {
		body = a.NewBody(nil, Owner{"a", "w"}, time.Now().Add(time.Minute), func(time.Time) error { return nil })
		require.NoError(t, body.Receive(bytes.NewReader(data), length))
		require.True(t, bytes.Equal(data, bytes.Join(body.Pieces(), nil)))
	}
}

func TestBodyCutOffIsNotTakenAsWhole(t *testing.T) {
	b := newBench()
	for _, length := range []int64{200_000, -1} {
		source := io.MultiReader(bytes.NewReader(make([]byte, 100_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
		body := b.body("a", "w")
		require.ErrorIs(t, body.Receive(source, length), io.ErrUnexpectedEOF)
		require.Empty(t, body.Pieces())
		require.Zero(t, b.Usage().Held)
	}
}

func TestEvictionInterruptsTheReaderAndReturnsItsMemory(t *testing.T) {
	b := newBench()
	reader, writer := io.Pipe()
	body := b.NewBody(nil, Owner{"a", "w"}, b.now, func(at time.Time) error {
		if at.Equal(time.Unix(1, 0)) {
			_ = writer.CloseWithError(errors.New("deadline")) // it never fails
		}
		return nil
	})
	go func() {
		_, _ = writer.Write(make([]byte, 1000)) // interrupted
		b.mu.Lock()
		defer b.mu.Unlock()
		b.evict(body)
	}()
	require.ErrorIs(t, body.Receive(reader, 1<<20), ErrEvicted)
	require.Zero(t, b.Usage().Held)
}

// A client may send 5 KB a second, or nothing for a while, as long as its request's deadline allows.
func TestSlowBodyMayArriveUntilItsRequestsDeadline(t *testing.T) {
	const slow = 5_000
	b := newBench()
	latest := b.now.Add(30 * time.Second)
	deadline := latest
	body := b.NewBody(nil, Owner{"a", "w"}, latest, func(at time.Time) error {
		if !at.IsZero() {
			deadline = at
		}
		return nil
	})
	source := readerFunc(func(data []byte) (int, error) {
		b.now = b.now.Add(time.Second)
		require.True(t, deadline.Equal(latest), "interrupted at another time than the request's deadline")
		return min(slow, len(data)), nil
	})
	require.NoError(t, body.Receive(source, 25*slow))
	require.True(t, deadline.Equal(latest))
	require.GreaterOrEqual(t, b.now.Sub(body.startedAt), 25*time.Second)
}

// readerFunc is a function that is an io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }

func TestAccountNeitherLeaksNorExceedsItsCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := newBench()
	var open []*Body
	for range 20_000 {
		b.now = b.now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		if len(open) == 0 || random.IntN(4) == 0 {
			open = append(open, b.body(string(rune('a'+random.IntN(3))), string(rune('v'+random.IntN(2)))))
		}
		i := random.IntN(len(open))
		body := open[i]
		if b.arrive(body, body.arrived+random.Int64N(200_000)) != nil || random.IntN(20) == 0 {
			body.Release()
			open = append(open[:i], open[i+1:]...)
		}
		require.LessOrEqual(t, b.held, int64(testCapacity))
	}
	for _, body := range open {
		body.Release()
	}
	require.Zero(t, b.held)
	require.Empty(t, b.byAddress)
	require.Empty(t, b.byWorkspace)
	require.Empty(t, b.receiving)
}
