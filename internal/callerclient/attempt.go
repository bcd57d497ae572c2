package callerclient

import (
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

// attemptEnd is how one attempt ended: whole, refused (refusal is set) or lost (err alone is set).
type attemptEnd struct {
	whole   bool
	refusal *callerapi.Refusal
	err     error
}

// errMoved is the end of a stream whose node leaves.
var errMoved = errors.New("the node leaves; the request goes on elsewhere")

func endOf(err error) attemptEnd {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return attemptEnd{refusal: &refused.Refusal, err: err}
	}
	return attemptEnd{err: err}
}
