package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

// listedBut is the host list without some hosts.
func (b *bench) listedBut(missing ...ident.Host) hostlist.List {
	var out hostlist.List
	gone := make(map[ident.Host]bool)
	for _, host := range missing {
		gone[host] = true
	}
	for _, line := range b.platform.Bill() {
		if host := ident.Host(line.Host.ID); !gone[host] {
			out.Hosts = append(out.Hosts, hostlist.Host{Host: host})
		}
	}
	return out
}

func TestHostMissingOnTheHostListIsAskedForAndReplaced(t *testing.T) {
	b, r, c := asking(t)
	vanished := b.running1()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	r.NoteListed(b.listedBut())
	b.pass(r, passInterval)
	require.Zero(t, c.asked.Load(), "all hosts were listed")
	r.NoteListed(b.listedBut(vanished))
	b.pass(r, passInterval)
	require.Equal(t, 4, b.running()["all"], "the vanished host was not found")
	require.Zero(t, c.lists)
}

func TestHostMissingOnTheHostListIsLookedForAtASmallSite(t *testing.T) {
	b, r, c := settled(t)
	vanished := b.running1()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	c.refuseLists = true
	r.NoteListed(b.listedBut(vanished))
	b.now = b.now.Add(passInterval)
	require.ErrorIs(t, r.Pass(t.Context()), errNoAnswer)
	c.refuseLists = false
	b.pass(r, passInterval)
	require.Equal(t, 4, b.running()["all"], "it was not looked for again")
}

func TestHostListThatIsWrongEndsNothingAndIsFollowedOnce(t *testing.T) {
	b, r, c := asking(t)
	for range 5 {
		r.NoteListed(hostlist.List{})
		b.pass(r, passInterval)
	}
	require.EqualValues(t, 4, c.asked.Load(), "each host is looked for once")
	require.Zero(t, c.lists)
	require.Equal(t, 4, b.ready("m1"))
	require.Len(t, b.platform.Bill(), 4)
	r.NoteListed(b.listedBut())
	b.pass(r, passInterval)
	vanished := b.running1()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	r.NoteListed(b.listedBut(vanished))
	b.pass(r, passInterval)
	require.Len(t, b.platform.Bill(), 5, "one that was shown again and vanished is looked for")
}
