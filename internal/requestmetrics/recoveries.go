package requestmetrics

import (
	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/dispatch"
	shown "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/recovery"
)

const (
	recoveredName  = "streams.recovered_total"
	recomputedName = "streams.recomputed_tokens_total"
)

// Recoveries counts how streams went on whose upstream left or was lost, and the
// tokens computed again for it, by method.
type Recoveries struct {
	registry metrics.Registry
}

var _ dispatch.RecoveryCounter = (*Recoveries)(nil)

// NewRecoveries returns a Recoveries that counts into registry. Every method is shown from the start.
func NewRecoveries(registry metrics.Registry) *Recoveries {
	shown.Describe(recoveredName, "Streams that went on after their upstream left, was lost or lost the connection, by method.")
	shown.Describe(recomputedName, "Tokens of prompts and answers computed again for that, estimated, by method.")
	r := &Recoveries{registry: registry}
	for _, method := range recovery.Methods() {
		r.counter(recoveredName, method)
		r.counter(recomputedName, method)
	}
	return r
}

// Recovered counts one stream that went on by method.
func (r *Recoveries) Recovered(method recovery.Method, recomputed int) {
	r.counter(recoveredName, method).Inc(1)
	r.counter(recomputedName, method).Inc(int64(recomputed))
}

func (r *Recoveries) counter(base string, method recovery.Method) metrics.Counter {
	name := shown.Name(base, shown.Label{Name: "method", Value: string(method)})
	return metrics.GetOrRegisterCounter(name, r.registry)
}
