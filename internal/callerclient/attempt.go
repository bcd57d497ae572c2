package callerclient

import (
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

// attemptResult is the result of one attempt: complete, refused (refusal and err are
// set) or lost (only err is set).
type attemptResult struct {
	complete bool
	refusal  *callerapi.Refusal
	err      error
}

// errMoved ends a stream whose node is leaving; the request continues on another node.
var errMoved = errors.New("the node leaves; the request goes on elsewhere")

// failedAttempt returns the result of an attempt that failed with err.
func failedAttempt(err error) attemptResult {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return attemptResult{refusal: &refused.Refusal, err: err}
	}
	return attemptResult{err: err}
}
