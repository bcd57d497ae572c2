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
	// stampEnd stands behind the stamp in a request ID.
	stampEnd = "-"
	// stampBase and stampBits are the form of a stamp's number.
	stampBase = 16
	stampBits = 32
)

// MinRandomLength is the least length of the part of a request ID that the caller chooses, in characters.
const MinRandomLength = 16

var (
	incarnationPattern = regexp.MustCompile(`^[a-z0-9-]{1,40}_[0-9a-f]{16}$`)
	randomPattern      = regexp.MustCompile(`^([0-9a-f]{8}-)?[a-z0-9]{16,64}$`)
)

// ErrBadRequestID is returned for text that is no request ID.
var ErrBadRequestID = errors.New("a request ID is the prefix from /v1/addresses followed by 16 to 64 characters out of a-z and 0-9")

// RequestID names a request and the two incarnations that decide who runs it.
// Its text is "<home>.<witness>.<random>".
type RequestID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Home is the incarnation that runs the request while it is alive.
	Home Incarnation
	// Witness is the incarnation that grants the right to run it.
	Witness Incarnation
	// Random is the part chosen by the caller, behind the stamp that came with its prefix, if any.
	Random string
}

// Prefix returns the text that request IDs of home and witness begin with.
func Prefix(home, witness Incarnation) string {
	return string(home) + "." + string(witness) + "."
}

// StampedPrefix returns a prefix that also tells when it was issued, in seconds,
// so that a witness can tell IDs of long ago from fresh ones.
func StampedPrefix(home, witness Incarnation, issued time.Time) string {
	return fmt.Sprintf("%s%08x%s", Prefix(home, witness), uint32(issued.Unix()), stampEnd) //nolint:gosec // until 2106
}

// NewRequestID makes a request ID with a fresh random part.
func NewRequestID(home, witness Incarnation) RequestID {
	return RequestID{Home: home, Witness: witness, Random: strings.ToLower(rand.Text())}
}

// ParseRequestID reads the text form of a request ID.
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

// Issued returns when the prefix of the ID was issued, by the clock of the node
// that issued it; it is false for an ID without a stamp.
func (r RequestID) Issued() (time.Time, bool) {
	stamp, _, ok := strings.Cut(r.Random, stampEnd)
	if !ok {
		return time.Time{}, false
	}
	seconds, err := strconv.ParseUint(stamp, stampBase, stampBits)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(int64(seconds), 0), true
}

// String returns the text form.
func (r RequestID) String() string {
	return Prefix(r.Home, r.Witness) + r.Random
}
