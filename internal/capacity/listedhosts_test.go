package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

// hostListWithout returns the platform's host list without the given hosts.
func (s *testSite) hostListWithout(missing ...ident.Host) hostlist.List {
	var out hostlist.List
	gone := make(map[ident.Host]bool)
	for _, host := range missing {
		gone[host] = true
	}
	for _, line := range s.platform.Bill() {
		if host := ident.Host(line.Host.ID); !gone[host] {
			out.Hosts = append(out.Hosts, hostlist.Host{Host: host})
		}
	}
	return out
}

func TestHostMissingFromHostListIsLookedUpAndReplaced(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	vanished := s.anyRunningHost()
	require.NoError(t, s.cloud.Terminate(t.Context(), vanished))
	r.RecordHostList(s.hostListWithout())
	s.passAfter(r, passInterval)
	require.Zero(t, c.startCalls.Load(), "a host was looked up although none is missing from the list")
	r.RecordHostList(s.hostListWithout(vanished))
	s.passAfter(r, passInterval)
	require.Equal(t, 4, s.runningByDomain()["all"], "the loss of the host was not noticed")
	require.Zero(t, c.listCalls)
}

func TestHostMissingFromHostListLeadsToListingAtSmallSite(t *testing.T) {
	s, r, c := settledSite(t)
	vanished := s.anyRunningHost()
	require.NoError(t, s.cloud.Terminate(t.Context(), vanished))
	c.failLists = true
	r.RecordHostList(s.hostListWithout(vanished))
	s.now = s.now.Add(passInterval)
	require.ErrorIs(t, r.Pass(t.Context()), errResponseLost)
	c.failLists = false
	s.passAfter(r, passInterval)
	require.Equal(t, 4, s.runningByDomain()["all"], "it was not looked up again after the failure")
}

func TestWrongHostListTerminatesNothingAndIsCheckedOnce(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	for range 5 {
		r.RecordHostList(hostlist.List{})
		s.passAfter(r, passInterval)
	}
	require.EqualValues(t, 4, c.startCalls.Load(), "the missing hosts were not looked up once each")
	require.Zero(t, c.listCalls)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Len(t, s.platform.Bill(), 4)
	r.RecordHostList(s.hostListWithout())
	s.passAfter(r, passInterval)
	vanished := s.anyRunningHost()
	require.NoError(t, s.cloud.Terminate(t.Context(), vanished))
	r.RecordHostList(s.hostListWithout(vanished))
	s.passAfter(r, passInterval)
	require.Len(t, s.platform.Bill(), 5, "a host that was listed again and then vanished was not replaced")
}
