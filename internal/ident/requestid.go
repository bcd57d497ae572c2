package ident

import (
	"crypto/rand"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stampSeparator follows the time stamp in a request ID.
	stampSeparator = "-"
	// stampBase and stampBitSize are the format of the time stamp.
	stampBase    = 16
	stampBitSize = 32
)

// MinRandomLength is the minimum length in characters of the part of a request ID
// that the caller chooses.
const MinRandomLength = 16

var (
	incarnationPattern = regexp.MustCompile(`^[a-z0-9-]{1,40}_[0-9a-f]{16}$`)
	randomPattern      = regexp.MustCompile(`^([0-9a-f]{8}-)?[a-z0-9]{16,64}$`)
)

// ErrBadRequestID is returned for a malformed request ID.
var ErrBadRequestID = errors.New("a request ID is the prefix from /v1/addresses followed by 16 to 64 characters out of a-z and 0-9")

// RequestID identifies a request and the two incarnations that decide which node
// runs it. Its text form is "<home>.<witness>.<random>".
type RequestID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Home is the incarnation that runs the request as long as it is alive.
	Home Incarnation
	// Witness is the incarnation that grants the right to run the request.
	Witness Incarnation
	// Random is the part chosen by the caller, preceded by the time stamp and its
	// separator if the prefix was stamped.
	Random string
}

// Prefix returns the common prefix of the request IDs of home and witness.
func Prefix(home, witness Incarnation) string {
	return string(home) + "." + string(witness) + "."
}

// StampedPrefix returns a prefix with a time stamp of its issue, in seconds, so that a
// witness can tell old IDs from new ones.
func StampedPrefix(home, witness Incarnation, issued time.Time) string {
	return fmt.Sprintf("%s%08x%s", Prefix(home, witness), uint32(issued.Unix()), stampSeparator) //nolint:gosec // 32 bits suffice until 2106
}

// NewRequestID returns a request ID with a new random part and without a time stamp.
func NewRequestID(home, witness Incarnation) RequestID {
	return RequestID{Home: home, Witness: witness, Random: strings.ToLower(rand.Text())}
}

// ParseRequestID parses the text form of a request ID.
func ParseRequestID(text string) (RequestID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 {
		return RequestID{}, ErrBadRequestID
	}
	if !incarnationPattern.MatchString(parts[0]) || !incarnationPattern.MatchString(parts[1]) {
		return RequestID{}, ErrBadRequestID
	}
	if !randomPattern.MatchString(parts[2]) {
		return RequestID{}, ErrBadRequestID
	}
	return RequestID{Home: Incarnation(parts[0]), Witness: Incarnation(parts[1]), Random: parts[2]}, nil
}

// Issued returns the time at which the prefix of the ID was issued, by the clock of
// the node that issued it, or false for an ID without a time stamp.
func (r RequestID) Issued() (time.Time, bool) {
	stamp, _, ok := strings.Cut(r.Random, stampSeparator)
	if !ok {
		return time.Time{}, false
	}
	seconds, err := strconv.ParseUint(stamp, stampBase, stampBitSize)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(int64(seconds), 0), true
}

// String returns the text form of the ID.
func (r RequestID) String() string {
	return Prefix(r.Home, r.Witness) + r.Random
}
