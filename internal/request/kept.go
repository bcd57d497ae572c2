package request

import (
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// keptAfterPercent is the part of their limit, in percent, that answers take after the oldest were dropped, so
// that not each further one drops some.
const keptAfterPercent = 75

// Kept is a finished request whose answer is kept for resends.
type Kept struct {
	ID ident.RequestID
	// Since orders the answers by age.
	Since time.Time
	// Bytes is the size of the answer.
	Bytes int64
}

// Oldest returns the answers to drop, oldest first, so that the others are well within the limit in bytes, and
// the sum of the others. It reorders all.
func Oldest(all []Kept, limit int64) (dropped []Kept, rest int64) {
	for i := range all {
		rest += all[i].Bytes
	}
	if rest <= limit {
		return nil, rest
	}
	slices.SortFunc(all, func(a, b Kept) int { return a.Since.Compare(b.Since) })
	n := 0
	for ; n < len(all) && rest > limit*keptAfterPercent/100; n++ {
		rest -= all[n].Bytes
	}
	return all[:n], rest
}
