package owner

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// Holder stands for the incarnation that holds a reservation, in few bytes. Two
// incarnations with one Holder would only cost load.
type Holder uint64

// HolderOf returns the holder that an incarnation is.
func HolderOf(incarnation ident.Incarnation) Holder {
	return Holder(xxhash.Sum64String(string(incarnation)))
}
