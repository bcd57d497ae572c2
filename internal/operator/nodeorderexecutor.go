package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/tables"
)

// NodeOrderExecutor executes orders on the node of this process.
type NodeOrderExecutor struct {
	Leaving *fleet.LeavingMarks
	Poison  *poison.Registry
	// Stop begins the planned stop of the process and returns at once; it is idempotent.
	Stop func()
	// Now is the node's clock.
	Now func() time.Time
}

var _ OrderExecutor = (*NodeOrderExecutor)(nil)

// DrainNode begins the planned stop of this node.
func (e *NodeOrderExecutor) DrainNode(context.Context) error {
	e.Stop()
	return nil
}

// ClearPoison makes the crashes of content so far no longer count; id is its ID in the
// table poison.
func (e *NodeOrderExecutor) ClearPoison(id string) (bool, error) {
	fingerprint, err := tables.ParsePoisonID(id)
	if err != nil {
		return false, nil //nolint:nilerr // no content has such a name
	}
	return e.Poison.Clear(e.Now(), fingerprint), nil
}

// ClearLeaving clears the leaving marks of the upstream and the host called id.
func (e *NodeOrderExecutor) ClearLeaving(id string) (bool, error) {
	upstream, err := e.Leaving.Clear(fleet.Subject{Upstream: ident.Upstream(id)})
	host, hostErr := e.Leaving.Clear(fleet.Subject{Host: ident.Host(id)})
	return upstream || host, errors.CombineErrors(err, hostErr)
}
