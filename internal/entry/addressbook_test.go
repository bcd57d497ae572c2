package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

// mixedProtocolView is the membership as seen by its first member.
type mixedProtocolView []membership.Member

func (s mixedProtocolView) Self() membership.Member      { return s[0] }
func (s mixedProtocolView) Members() []membership.Member { return s }

func (s mixedProtocolView) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	for _, m := range s {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// newMixedProtocolView returns a site with one member per given protocol version.
func newMixedProtocolView(protocols ...membership.Protocol) mixedProtocolView {
	var out mixedProtocolView
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

// countProtocols requests addresses many times and counts the returned addresses by
// protocol version. It requires home and witness of every prefix to be different
// members with the same version.
func countProtocols(t *testing.T, site mixedProtocolView) map[membership.Protocol]int {
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

func TestWitnessHasTheProtocolOfItsHome(t *testing.T) {
	const asked = 50
	require.Equal(t, map[membership.Protocol]int{1: 2 * asked, 2: 2 * asked}, countProtocols(t, newMixedProtocolView(1, 2, 1, 2)))
}

func TestOnlyNodeOfAProtocolInItsRegionIsNotOffered(t *testing.T) {
	site := newMixedProtocolView(2, 1, 1, 2)
	site[3].Region = "elsewhere"
	named := countProtocols(t, site)
	require.Zero(t, named[2], "a node was offered whose only possible witness is in another region")
	require.NotZero(t, named[1])
}

func TestOnlyNodeOfAProtocolIsNotOffered(t *testing.T) {
	named := countProtocols(t, newMixedProtocolView(2, 1, 1, 1))
	require.Zero(t, named[2], "a node without a witness was offered")
	require.NotZero(t, named[1])
	own := NewAddressBook(newMixedProtocolView(2, 1, 1, 1), time.Minute, func() (string, bool) { return "", false }).OwnID()
	require.Equal(t, own.Home, own.Witness)
}
