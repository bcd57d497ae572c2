package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// mixedSite is a site as its first member sees it.
type mixedSite []membership.Member

func (s mixedSite) Self() membership.Member      { return s[0] }
func (s mixedSite) Members() []membership.Member { return s }

func (s mixedSite) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	for _, m := range s {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// newMixedSite returns a site with a member of each of the protocols.
func newMixedSite(protocols ...membership.Protocol) mixedSite {
	var out mixedSite
	for i, protocol := range protocols {
		node := ident.Node(fmt.Sprint("n", i))
		out = append(out, membership.Member{
			Incarnation: ident.NewIncarnation(node, time.Unix(1_700_000_000, 0)), Node: node,
			FailureDomain: ident.FailureDomain(fmt.Sprint("d", i%3)), CallerURL: "http://" + string(node),
			Protocol: protocol, Foreign: protocol != protocols[0],
		})
	}
	return out
}

// protocolsOf asks for addresses many times and returns how often each protocol was
// named; home and witness of every prefix must be two members of one.
func protocolsOf(t *testing.T, site mixedSite) map[membership.Protocol]int {
	t.Helper()
	const asked = 50
	book := NewAddressBook(site, time.Minute, func() (string, bool) { return "", false })
	out := make(map[membership.Protocol]int)
	for range asked {
		answer, err := book.Addresses()
		require.NoError(t, err)
		for _, address := range answer.Addresses {
			id, err := ident.ParseRequestID(address.RequestIdPrefix + "0123456789abcdef")
			require.NoError(t, err)
			home, known := site.Lookup(id.Home)
			require.True(t, known)
			witness, known := site.Lookup(id.Witness)
			require.True(t, known)
			require.Equal(t, home.Protocol, witness.Protocol)
			require.NotEqual(t, home.Incarnation, witness.Incarnation)
			out[home.Protocol]++
		}
	}
	return out
}

func TestAddressesOfBothReleasesHaveWitnessesOfTheirOwn(t *testing.T) {
	const asked = 50
	require.Equal(t, map[membership.Protocol]int{1: 2 * asked, 2: 2 * asked}, protocolsOf(t, newMixedSite(1, 2, 1, 2)))
}

func TestTheFirstNodeOfAReleaseInItsRegion(t *testing.T) {
	site := newMixedSite(2, 1, 1, 2)
	site[3].Region = "elsewhere"
	named := protocolsOf(t, site)
	require.Zero(t, named[2], "witnesses are of its own region")
	require.NotZero(t, named[1])
}

func TestTheFirstNodeOfARelease(t *testing.T) {
	named := protocolsOf(t, newMixedSite(2, 1, 1, 1))
	require.Zero(t, named[2], "it has no witness, and callers have other addresses")
	require.NotZero(t, named[1])
	own := NewAddressBook(newMixedSite(2, 1, 1, 1), time.Minute, func() (string, bool) { return "", false }).OwnID()
	require.Equal(t, own.Home, own.Witness)
}
