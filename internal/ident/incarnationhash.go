package ident

import "github.com/cespare/xxhash/v2"

// IncarnationHash is a short form of an incarnation, for uses where a collision costs
// additional load at worst.
type IncarnationHash uint64

// Hash returns the hash of the incarnation.
func (i Incarnation) Hash() IncarnationHash {
	return IncarnationHash(xxhash.Sum64String(string(i)))
}
