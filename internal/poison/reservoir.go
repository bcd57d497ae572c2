package poison

import "math/rand/v2"

// reservoir takes a uniform random sample of the entries offered to it (reservoir sampling).
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
