package operator

import (
	"context"
	"fmt"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/tables"
)

// drain declares a drain. One of something that this node knows nothing of is
// accepted and told as such: the lists lag, and a change that may have been made by
// another node can't be refused truthfully for what this one knows.
func (r *Runner) drain(ctx context.Context, in Command, edit config.Edit) (Decision, error) {
	decision, err := r.edit(ctx, in, edit)
	if err != nil || decision.Outcome != OutcomeAccepted {
		return decision, err
	}
	covered := r.covered(edit.Key)
	decision.Reason = fmt.Sprintf("keeps new work from %d upstreams known here, until `clear drain %s`", covered, edit.Key)
	if covered == 0 {
		decision.Reason = fmt.Sprintf("nothing called %s is known here now, see `show hosts` and `show upstreams`; "+
			"the drain holds when it appears, until `clear drain %s`", edit.Key, edit.Key)
	}
	return decision, nil
}

// covered counts the upstreams known here that a drain is about.
func (r *Runner) covered(key string) int {
	if r.options.Upstreams == nil {
		return 0
	}
	drain := config.NewDrain(key)
	return tables.DrainedBy(r.options.Upstreams, &drain)
}
