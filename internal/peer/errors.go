package peer

import (
	"encoding/json"
	"net/rpc"
	"strings"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/verdict"
)

// errorPrefix marks an encoded verdict.Error in the error text that net/rpc carries.
const errorPrefix = "verdict:"

// errNotSent marks errors of calls that were not sent.
var errNotSent = errors.New("the call was not sent")

// IsNotSent reports whether the call that returned err was certainly not sent.
func IsNotSent(err error) bool {
	return errors.Is(err, errNotSent)
}

func notSent(err error) error {
	return errors.Mark(err, errNotSent)
}

// EncodeError encodes err for the reply through net/rpc. Every method of a service
// registered at a Server must return its error through it.
func EncodeError(err error) error {
	if err == nil {
		return nil
	}
	text, jsonErr := json.Marshal(verdict.From(err))
	if jsonErr != nil {
		return err
	}
	return errors.Newf("%s%s", errorPrefix, text)
}

// decodeError reverses EncodeError. A remote error that was not encoded becomes a
// verdict.Error with the verdict MayHaveRun.
func decodeError(err error) error {
	var remote rpc.ServerError
	if !errors.As(err, &remote) {
		return err
	}
	text, ok := strings.CutPrefix(string(remote), errorPrefix)
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "%s", string(remote))
	}
	out := new(verdict.Error)
	if jsonErr := json.Unmarshal([]byte(text), out); jsonErr != nil {
		return err
	}
	return out
}
