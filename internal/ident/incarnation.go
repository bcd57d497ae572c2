package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// incarnationRandomBytes is the length of the random part of an incarnation before
// hex encoding.
const incarnationRandomBytes = 4

// Incarnation identifies one run of a node's process. Its form is
// "<node>_<start time><random>", with the start time in hex Unix seconds.
type Incarnation string

// NewIncarnation returns a new incarnation of node for a process started at start.
func NewIncarnation(node Node, start time.Time) Incarnation {
	random := make([]byte, incarnationRandomBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never fails
	return Incarnation(fmt.Sprintf("%s_%08x%s", node, uint32(start.Unix()), hex.EncodeToString(random)))
}

// Node returns the node that the incarnation belongs to.
func (i Incarnation) Node() Node {
	node, _, _ := strings.Cut(string(i), "_")
	return Node(node)
}

// NewerThan reports whether i was started after other; both must be of the same node.
// Incarnations started in the same second are ordered by their random part.
func (i Incarnation) NewerThan(other Incarnation) bool {
	_, mine, _ := strings.Cut(string(i), "_")
	_, theirs, _ := strings.Cut(string(other), "_")
	return mine > theirs
}

// ValidIncarnation reports whether i is well-formed.
func ValidIncarnation(i Incarnation) bool {
	return incarnationPattern.MatchString(string(i))
}
