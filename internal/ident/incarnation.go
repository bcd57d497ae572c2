package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// incarnationRandomBytes is the length of the random part of an incarnation, in bytes.
const incarnationRandomBytes = 4

// Incarnation names one run of one node's process, as "<node>_<start time><random>".
type Incarnation string

// NewIncarnation makes the incarnation of a process of node that starts at start.
func NewIncarnation(node Node, start time.Time) Incarnation {
	random := make([]byte, incarnationRandomBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never fails
	return Incarnation(fmt.Sprintf("%s_%08x%s", node, uint32(start.Unix()), hex.EncodeToString(random)))
}

// Node returns the node that the incarnation is a run of.
func (i Incarnation) Node() Node {
	node, _, _ := strings.Cut(string(i), "_")
	return Node(node)
}

// NewerThan reports whether i was started after other; both must be of one node.
// Incarnations of one start second are ordered by their random part.
func (i Incarnation) NewerThan(other Incarnation) bool {
	_, mine, _ := strings.Cut(string(i), "_")
	_, theirs, _ := strings.Cut(string(other), "_")
	return mine > theirs
}

// ValidIncarnation reports whether i has the form of an incarnation.
func ValidIncarnation(i Incarnation) bool {
	return incarnationPattern.MatchString(string(i))
}
