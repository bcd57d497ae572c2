package request

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

func TestOldestAnswersAreDroppedBeyondTheLimit(t *testing.T) {
	var all []Kept
	for i := range 10 {
		all = append(all, Kept{Since: time.Unix(int64(100-i), 0), Bytes: 10})
	}
	dropped, rest := Oldest(all, 100)
	require.Empty(t, dropped)
	require.EqualValues(t, 100, rest)
	dropped, rest = Oldest(all, 99)
	require.Len(t, dropped, 3)
	require.EqualValues(t, 70, rest)
	for i := range dropped {
		require.Equal(t, time.Unix(int64(91+i), 0), dropped[i].Since)
	}
}

func TestAnswersAddedAtOnceStayWithinTheirLimit(t *testing.T) {
	const limit, workers, answers, bytes = 1000, 8, 500, 10
	var mu sync.Mutex
	store := make(map[ident.RequestID]Kept)
	k := &KeptAnswers{Limit: limit}
	k.List = func() (out []Kept) {
		mu.Lock()
		defer mu.Unlock()
		for _, answer := range store {
			out = append(out, answer)
		}
		return out
	}
	k.Drop = func(id ident.RequestID) {
		mu.Lock()
		defer mu.Unlock()
		delete(store, id)
	}
	var adding sync.WaitGroup
	for range workers {
		adding.Go(func() {
			for i := range answers {
				id := ident.NewRequestID("n1_0123456789abcdef", "n2_0123456789abcdef")
				mu.Lock()
				store[id] = Kept{ID: id, Since: time.Unix(int64(i), 0), Bytes: bytes}
				mu.Unlock()
				k.Add(bytes)
			}
		})
	}
	adding.Wait()
	require.GreaterOrEqual(t, k.bytes.Load(), int64(len(store)*bytes), "the count is too low")
	k.Trim()
	require.LessOrEqual(t, len(store)*bytes, limit)
	require.EqualValues(t, len(store)*bytes, k.bytes.Load())
}
