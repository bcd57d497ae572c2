package ingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongAnswersWaitForEachOther(t *testing.T) {
	m := NewAnswerMemory(64, func() {})
	var now, most atomic.Int64
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			length := rand.Int64N(1<<20) + ShortAnswer
			release, err := m.Reserve(t.Context(), length)
			if err != nil {
				t.Error(err)
				return
			}
			sum := now.Add(min(length*answerCopies, m.capacity))
			for old := most.Load(); sum > old && !most.CompareAndSwap(old, sum); old = most.Load() {
			}
			time.Sleep(time.Millisecond)
			now.Add(-min(length*answerCopies, m.capacity))
			release()
			release() // has no further effect
		})
	}
	all.Wait()
	require.LessOrEqual(t, most.Load(), m.capacity)
	release, err := m.Reserve(t.Context(), m.capacity) // over the limit with its copies, but alone
	require.NoError(t, err)
	release()
}

func TestShortAnswersDoNotWait(t *testing.T) {
	m := NewAnswerMemory(64, func() {})
	release, err := m.Reserve(t.Context(), m.capacity)
	require.NoError(t, err)
	defer release()
	short, err := m.Reserve(t.Context(), ShortAnswer)
	require.NoError(t, err)
	short()
	var none *AnswerMemory
	release, err = none.Reserve(t.Context(), 1<<40)
	require.NoError(t, err)
	release()
}

func TestAnswerThatWaitsMakesRoom(t *testing.T) {
	var release func()
	m := NewAnswerMemory(64, func() { release() })
	release, err := m.Reserve(t.Context(), m.capacity)
	require.NoError(t, err)
	next, err := m.Reserve(t.Context(), m.capacity)
	require.NoError(t, err)
	next()
}

func TestWaitForMemoryEndsWithItsRequest(t *testing.T) {
	m := NewAnswerMemory(64, func() {})
	release, err := m.Reserve(t.Context(), m.capacity)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = m.Reserve(ctx, m.capacity)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	release()
	release, err = m.Reserve(t.Context(), m.capacity)
	require.NoError(t, err)
	release()
}

func TestScopeReleasesAtItsEnd(t *testing.T) {
	released := 0
	ctx, scope := WithScope(t.Context())
	HoldInScope(ctx, func() { released++ })
	HoldInScope(ctx, func() { released++ })
	require.Zero(t, released)
	scope.End()
	require.Equal(t, 2, released)
	HoldInScope(ctx, func() { released++ })
	HoldInScope(t.Context(), func() { released++ })
	require.Equal(t, 4, released)
}

func TestOnlyStalledLongAnswersGiveWayForMemory(t *testing.T) {
	b := newConnBench(4)
	short, _ := b.open("a")
	long, _ := b.open("b")
	for _, c := range []*Conn{short, long} {
		b.setServing(c, true)
		c.writingSince.Store(b.now.UnixNano())
	}
	long.SetLongAnswer(true)
	b.EvictStalledAnswer()
	require.Zero(t, b.Usage().Evicted, "none has stalled")
	b.now = b.now.Add(evictionAge)
	b.EvictStalledAnswer()
	b.EvictStalledAnswer()
	require.EqualValues(t, 1, b.Usage().Evicted)
	require.True(t, b.has(short))
}
