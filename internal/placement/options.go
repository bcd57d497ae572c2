package placement

import (
	"log/slog"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// Options configure a Router.
type Options struct {
	Members membership.View
	// Fleet lists the upstreams; those with a leaving mark have fleet.StateLeaving.
	Fleet fleet.View
	// UnmarkedFleet is the same list without the leaving marks. It returns the same slice
	// until the list changes.
	UnmarkedFleet fleet.View
	// LeavingRevision returns a number that changes when leaving marks are added or removed.
	LeavingRevision func() uint64
	// Calls sends calls to other nodes.
	Calls peer.Caller
	// Now is the clock; nil means time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Policy chooses among the upstreams that this node owns, and among all when no
	// owner can be reached.
	Policy routing.Policy
	// MarkLeaving announces to other nodes that an upstream is leaving.
	MarkLeaving func(ident.Upstream)
	// ReclaimAt returns when the platform reclaims the host of an upstream, by the
	// platform's clock, or zero if no reclaim was announced; nil means always zero.
	ReclaimAt func(fleet.Upstream) time.Time
	// Suspect reports whether upstreams have crashed while running a request's
	// content; nil means never.
	Suspect func(*request.Spec) bool
}
