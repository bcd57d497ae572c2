package routing

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// DefaultOvercommit is how many requests more than its slots an owner lets wait
// at an upstream. A slot that comes free then has its next request at once.
const DefaultOvercommit = 12

// Options say how a table counts.
type Options struct {
	// Exact is true in the table of an owner, through which all work of its upstreams goes.
	Exact bool
	// Overcommit is how many requests beyond its slots an exact table lets wait at an upstream.
	Overcommit int
	// Local is the failure domain of the node.
	Local ident.FailureDomain
	// MaxAge is how old the list of upstreams may be, counted from the last Update or
	// Confirm, and still be chosen from; 0 means any age. It keeps a process that
	// was paused from sending to upstreams that left meanwhile. After a longer
	// silence confirmations have to go on for a while before they count.
	MaxAge time.Duration
}
