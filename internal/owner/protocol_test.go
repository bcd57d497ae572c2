package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/membership"
)

func TestOwnersHaveProtocolOfAskingNode(t *testing.T) {
	list := upstreams(60)
	for _, own := range []membership.Protocol{1, 2} {
		all := members(9)
		for i := range all {
			all[i].Protocol = membership.Protocol(1 + i%2)
			all[i].Foreign = all[i].Protocol != own
		}
		for i := range list {
			chosen, found := Of(&list[i], all)
			require.True(t, found)
			require.Equal(t, own, chosen.Protocol)
		}
	}
}
