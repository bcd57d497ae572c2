package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

func TestLeastRecentlyUsedPartsAreEvictedBeyondTheUpstreamsCapacity(t *testing.T) {
	c := newPartCache()
	start := time.Unix(1000, 0)
	for i, id := range []string{"a", "b", "c", "a", "d"} {
		c.record(site.PromptPart{ID: id, Tokens: 40}, start.Add(time.Duration(i)*time.Second), 120)
		c.evict(120, 100)
	}
	_, found := c.lastUsed("b")
	require.False(t, found)
	used, found := c.lastUsed("a")
	require.True(t, found)
	require.Equal(t, start.Add(3*time.Second), used)
	require.Equal(t, 120, c.tokens)
}

func TestPartsWithoutTokensAndWithTooManyAreBounded(t *testing.T) {
	c := newPartCache()
	for i := range 10_000 {
		tokens := 0
		if i%2 == 0 {
			tokens = math.MaxInt
		}
		c.record(site.PromptPart{ID: fmt.Sprint(i), Tokens: tokens}, time.Unix(int64(i), 0), 1000)
		c.evict(1000, 50)
		require.LessOrEqual(t, c.parts.Len(), 50)
		require.LessOrEqual(t, c.tokens, 1000)
		require.GreaterOrEqual(t, c.tokens, 0)
	}
}

func TestPartsOfAllUpstreamsTogetherAreBounded(t *testing.T) {
	b := New("a", 100, time.Now, func() float64 { return 0 })
	for i := range 10 {
		b.states[fmt.Sprint(i)] = newUpstreamState(site.Upstream{}, time.Now())
	}
	require.Equal(t, 10, b.maxPartsEach())
	require.Less(t, MaxParts(144)*partBytes, 144<<20/10)
}
