package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTopNAgreesWithIsInTopN(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	for n := range len(names) + 2 {
		first := TopN("role", names, n)
		for _, name := range names {
			require.Equal(t, IsInTopN("role", name, names, n), contains(first, name), "%s of %d", name, n)
		}
	}
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}
