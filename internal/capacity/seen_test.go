package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

// hostListWithout returns the platform's host list without the given hosts.
func (b *testSite) hostListWithout(missing ...ident.Host) hostlist.List {
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

func TestHostMissingFromHostListIsLookedUpAndReplaced(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	vanished := b.anyRunningHost()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	r.RecordHostList(b.hostListWithout())
	b.passAfter(r, passInterval)
	require.Zero(t, c.startCalls.Load(), "a host was looked up although none is missing from the list")
	r.RecordHostList(b.hostListWithout(vanished))
	b.passAfter(r, passInterval)
	require.Equal(t, 4, b.runningByDomain()["all"], "the loss of the host was not noticed")
	require.Zero(t, c.listCalls)
}

func TestHostMissingFromHostListLeadsToListingAtSmallSite(t *testing.T) {
	b, r, c := settledSite(t)
	vanished := b.anyRunningHost()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	c.failLists = true
	r.RecordHostList(b.hostListWithout(vanished))
	b.now = b.now.Add(passInterval)
	require.ErrorIs(t, r.Pass(t.Context()), errNoAnswer)
	c.failLists = false
	b.passAfter(r, passInterval)
	require.Equal(t, 4, b.runningByDomain()["all"], "it was not looked up again after the failure")
}

func TestWrongHostListTerminatesNothingAndIsCheckedOnce(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	for range 5 {
		r.RecordHostList(hostlist.List{})
		b.passAfter(r, passInterval)
	}
	require.EqualValues(t, 4, c.startCalls.Load(), "each missing host is looked up once")
	require.Zero(t, c.listCalls)
	require.Equal(t, 4, b.readyUpstreams("m1"))
	require.Len(t, b.platform.Bill(), 4)
	r.RecordHostList(b.hostListWithout())
	b.passAfter(r, passInterval)
	vanished := b.anyRunningHost()
	require.NoError(t, b.cloud.Terminate(t.Context(), vanished))
	r.RecordHostList(b.hostListWithout(vanished))
	b.passAfter(r, passInterval)
	require.Len(t, b.platform.Bill(), 5, "a host that was listed again and then vanished is looked up")
}
