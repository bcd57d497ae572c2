package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFastLinkNodesWatchStoreFirst(t *testing.T) {
	var all []watchCandidate
	for i := range 20 {
		link := 10.0
		if i%5 == 0 {
			link = 200
		}
		all = append(all, watchCandidate{fmt.Sprintf("node-%d", i), link})
	}
	for n := 1; n <= 6; n++ {
		chosen := 0
		for i, c := range all {
			others := append(append([]watchCandidate(nil), all[:i]...), all[i+1:]...)
			if !c.ranksInTop(others, n) {
				continue
			}
			chosen++
			require.True(t, c.linkMbps == 200 || n > 4, "a slow node is among the first %d", n)
		}
		require.Equal(t, n, chosen)
	}
}
