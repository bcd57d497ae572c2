package poison

import "math/rand/v2"

// reservoir keeps a sample of the entries that it is offered, each with the same chance.
type reservoir struct {
	size    int
	kept    []*Entry
	offered int
}

func (r *reservoir) offer(e *Entry, random *rand.Rand) {
	r.offered++
	if len(r.kept) < r.size {
		r.kept = append(r.kept, e)
		return
	}
	if at := random.IntN(r.offered); at < r.size {
		r.kept[at] = e
	}
}
