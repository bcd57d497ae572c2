package routing

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// DefaultOvercommit is how many requests beyond its slots an owner lets queue at
// an upstream, so that a slot that becomes free is refilled at once.
const DefaultOvercommit = 12

// Options configure how a table counts requests.
type Options struct {
	// Exact is set in the table of an owner, through which all requests to its
	// upstreams pass, so that its counts are complete.
	Exact bool
	// Overcommit is how many requests beyond its slots an exact table lets queue at an upstream.
	Overcommit int
	// LocalDomain is the node's own failure domain.
	LocalDomain ident.FailureDomain
	// MaxAge is the maximum age of the list of upstreams, counted from the last
	// Update or Confirm; 0 means unlimited. It prevents a process that was paused
	// from sending to upstreams that have left in the meantime. After a longer gap
	// the list is used again only once confirmations have continued for a while.
	MaxAge time.Duration
}
