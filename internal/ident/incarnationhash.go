package ident

import "github.com/cespare/xxhash/v2"

// IncarnationHash stands for an incarnation in few bytes, where taking two for
// one would cost no more than load.
type IncarnationHash uint64

// Hash returns the hash of the incarnation's text.
func (i Incarnation) Hash() IncarnationHash {
	return IncarnationHash(xxhash.Sum64String(string(i)))
}
