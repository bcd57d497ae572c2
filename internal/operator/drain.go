package operator

import (
	"context"
	"fmt"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/tables"
)

// declareDrain proposes a drain of a host or upstream. A drain of one that this node
// does not know is accepted, and the reason says so: this node's list of upstreams may
// be out of date, so it can't truthfully refuse a change that another node may already
// have made.
func (r *Runner) declareDrain(ctx context.Context, in Command, edit config.Edit) (Decision, error) {
	decision, err := r.proposeEdit(ctx, in, edit)
	if err != nil || decision.Outcome != OutcomeAccepted {
		return decision, err
	}
	drained := r.countDrained(edit.Key)
	decision.Reason = fmt.Sprintf("keeps new work from %d upstreams known here, until `clear drain %s`", drained, edit.Key)
	if drained == 0 {
		decision.Reason = fmt.Sprintf("nothing called %s is known here now, see `show hosts` and `show upstreams`; "+
			"the drain holds when it appears, until `clear drain %s`", edit.Key, edit.Key)
	}
	return decision, nil
}

// countDrained returns the number of upstreams known to this node that the drain
// called key applies to.
func (r *Runner) countDrained(key string) int {
	if r.options.Upstreams == nil {
		return 0
	}
	drain := config.NewDrain(key)
	return tables.CountDrained(r.options.Upstreams, &drain)
}
