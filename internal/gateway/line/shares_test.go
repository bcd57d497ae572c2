package line

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type testClock struct{ at time.Time }

func (c *testClock) now() time.Time { return c.at }

// reportSecond plays one second in steps of a message: every node spends the given units for each
// workspace, and the first nodes, which have shares, hear of it. A node in cut and the others do not hear
// each other.
func reportSecond(c *testClock, shares []*Shares, spent []map[string]float64, use func(node int, workspace string) float64, cut map[int]bool) {
	for range 4 {
		c.at = c.at.Add(250 * time.Millisecond)
		for node := range spent {
			next := make(map[string]float64)
			for workspace, total := range spent[node] {
				next[workspace] = total + use(node, workspace)/4
			}
			spent[node] = next
			for receiver, s := range shares {
				if receiver == node || !cut[node] && !cut[receiver] {
					s.Report("n"+strconv.Itoa(node), "i", next)
				}
			}
		}
	}
}

func siteOf(nodes, judges int) (*testClock, []*Shares, []map[string]float64) {
	c := &testClock{at: time.Unix(1000, 0)}
	shares := make([]*Shares, judges)
	for i := range shares {
		shares[i] = NewShares(c.now)
	}
	spent := make([]map[string]float64, nodes)
	for i := range spent {
		spent[i] = map[string]float64{"large": 0, "small": 0, "hot": 0}
	}
	return c, shares, spent
}

func weights(workspace string) float64 {
	return map[string]float64{"large": 9000, "small": 1000, "hot": 1000}[workspace]
}

func TestHotWorkspaceIsSeenOverTheSiteWhereANodeSeesFewRequests(t *testing.T) {
	c, shares, spent := siteOf(83, 6)
	calm := func(_ int, w string) float64 { return weights(w) / 2 / 83 }
	for range 6 {
		reportSecond(c, shares, spent, calm, nil)
	}
	for _, w := range []string{"large", "small", "hot"} {
		require.False(t, shares[0].Over(w, weights), w)
	}
	// The hot workspace sends through a few nodes only.
	hot := func(node int, w string) float64 {
		if w == "hot" && node < 5 {
			return 7 * weights(w) / 2 / 5
		}
		return calm(node, w)
	}
	for range 3 {
		reportSecond(c, shares, spent, hot, nil)
	}
	for _, s := range shares {
		require.True(t, s.Over("hot", weights))
		require.False(t, s.Over("small", weights))
		require.False(t, s.Over("large", weights))
	}
}

func TestBurstOfAllWorkspacesPutsNoneOverItsShare(t *testing.T) {
	c, shares, spent := siteOf(10, 10)
	for second := range 8 {
		reportSecond(c, shares, spent, func(_ int, w string) float64 {
			return weights(w) * float64(1+second/4)
		}, nil)
	}
	for w := range spent[0] {
		require.False(t, shares[0].Over(w, weights), w)
	}
}

func TestNodeThatIsCutOffJudgesByWhatItSees(t *testing.T) {
	c, shares, spent := siteOf(10, 10)
	cut := map[int]bool{9: true}
	for range 8 {
		reportSecond(c, shares, spent, func(node int, w string) float64 {
			if w == "hot" && node == 9 {
				return 10 * weights(w)
			}
			return weights(w)
		}, cut)
	}
	require.True(t, shares[9].Over("hot", weights))
	require.False(t, shares[9].Over("small", weights))
	require.False(t, shares[0].Over("hot", weights), "the others do not hear of it")
}

func TestRestartedNodeCountsFromItsFirstReport(t *testing.T) {
	c := &testClock{at: time.Unix(1000, 0)}
	s := NewShares(c.now)
	s.Report("n", "a", map[string]float64{"hot": 1e6, "small": 1e6})
	s.Report("n", "a", map[string]float64{"hot": 1e6 + 10, "small": 1e6 + 10})
	s.Report("n", "b", map[string]float64{"hot": 5e6, "small": 0})
	require.False(t, s.Over("hot", weights))
	require.False(t, s.Over("other", weights), "a workspace without a quota has no share")
	c.at = c.at.Add(2 * retention)
	s.Prune()
	require.Empty(t, s.totals)
	require.Empty(t, s.uses)
}
