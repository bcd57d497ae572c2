package placement

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

// singleNode is a membership of this node only, with a list of upstreams.
type singleNode struct{ upstreams []fleet.Upstream }

func (singleNode) Self() membership.Member { return membership.Member{Node: "n1", Incarnation: "n1_0"} }

func (n singleNode) Members() []membership.Member {
	return []membership.Member{n.Self()}
}

func (singleNode) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

func (n singleNode) Upstreams() []fleet.Upstream { return n.upstreams }

func TestReclaimAtReturnsTimeOfUpstreamsHost(t *testing.T) {
	at := time.Unix(2000, 0)
	env := singleNode{upstreams: []fleet.Upstream{{ID: "u1", Host: "h1", State: fleet.StateLeaving}, {ID: "u2", Host: "h2"}}}
	options := Options{
		Members: env, Fleet: env, UnmarkedFleet: env, Logger: slog.Default(), Policy: routing.LeastOutstanding{},
		LeavingRevision: func() uint64 { return 0 },
		ReclaimAt: func(u fleet.Upstream) time.Time {
			if u.Host == "h1" {
				return at
			}
			return time.Time{}
		},
	}
	r := NewRouter(options)
	require.Zero(t, r.ReclaimAt("u1"), "Update has not run yet")
	r.Update(time.Unix(1000, 0))
	require.Equal(t, at, r.ReclaimAt("u1"))
	require.Zero(t, r.ReclaimAt("u2"))
	options.ReclaimAt = nil
	r = NewRouter(options)
	r.Update(time.Unix(1000, 0))
	require.Zero(t, r.ReclaimAt("u1"))
}
