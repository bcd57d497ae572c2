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

// Options are what a Router works with.
type Options struct {
	Members membership.View
	// Fleet is the list of upstreams with the marks of those that leave.
	Fleet fleet.View
	// Listed is the same list without the marks; it gives the same slice until it changes.
	Listed fleet.View
	// Marks counts the marks of leaving that came or went.
	Marks func() uint64
	Calls peer.Caller
	// Now is the clock; nil means the machine's.
	Now    func() time.Time
	Logger *slog.Logger
	// Policy chooses among the upstreams of this node.
	Policy routing.Policy
	// MarkLeaving spreads the news that an upstream said it is leaving.
	MarkLeaving func(ident.Upstream)
	// ReclaimAt returns when the host of an upstream is taken away, by the
	// platform's clock, or zero while nobody has said; nil means never said.
	ReclaimAt func(fleet.Upstream) time.Time
	// Suspect reports whether upstreams have crashed under a request's content; nil means never.
	Suspect func(*request.Spec) bool
}
