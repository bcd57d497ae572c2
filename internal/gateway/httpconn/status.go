package httpconn

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// minFinalStatus and maxFinalStatus bound the statuses of final responses.
	minFinalStatus = 200
	maxFinalStatus = 599
)

// errImpossibleStatus means that the status of a response is none that ends an exchange.
var errImpossibleStatus = errors.New("impossible status")

// isInformational reports whether a response is an interim (1xx) one. After a 101 the connection would
// carry another protocol, which no request asks for.
func isInformational(r *http.Response) bool {
	return r.StatusCode >= http.StatusContinue && r.StatusCode < minFinalStatus && r.StatusCode != http.StatusSwitchingProtocols
}

// isFinal reports whether the status of a response is one that ends an exchange.
func isFinal(r *http.Response) bool {
	return r.StatusCode >= minFinalStatus && r.StatusCode <= maxFinalStatus
}
