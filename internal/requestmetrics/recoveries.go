package requestmetrics

import (
	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/dispatch"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/recovery"
)

const (
	recoveredName  = "streams.recovered_total"
	recomputedName = "streams.recomputed_tokens_total"
)

// RecoveryCounter counts, by method, the streams that continued after their upstream left, was lost or lost
// the connection, and the tokens computed again for that.
type RecoveryCounter struct {
	registry metrics.Registry
}

var _ dispatch.RecoveryCounter = (*RecoveryCounter)(nil)

// NewRecoveryCounter returns a RecoveryCounter that counts into registry. The counters of all methods are registered
// at once, so that they are exposed as 0 before the first recovery.
func NewRecoveryCounter(registry metrics.Registry) *RecoveryCounter {
	projectmetrics.Describe(recoveredName, "Streams that went on after their upstream left, was lost or lost the connection, by method.")
	projectmetrics.Describe(recomputedName, "Tokens of prompts and answers computed again for that, estimated, by method.")
	r := &RecoveryCounter{registry: registry}
	for _, method := range recovery.Methods() {
		r.counter(recoveredName, method)
		r.counter(recomputedName, method)
	}
	return r
}

// Recovered counts one stream that continued by method and the number of tokens computed again for it.
func (r *RecoveryCounter) Recovered(method recovery.Method, recomputed int) {
	r.counter(recoveredName, method).Inc(1)
	r.counter(recomputedName, method).Inc(int64(recomputed))
}

// counter returns the counter of the metric base for method.
func (r *RecoveryCounter) counter(base string, method recovery.Method) metrics.Counter {
	name := projectmetrics.Name(base, projectmetrics.Label{Name: "method", Value: string(method)})
	return metrics.GetOrRegisterCounter(name, r.registry)
}
