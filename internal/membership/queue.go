package membership

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// transmitFactor times the decimal logarithm of the number of members is how often each news is sent on.
	transmitFactor = 4
	// minTransmits is the least number of times that each news is sent on.
	minTransmits = 8
)

// newsName says what a piece of news is about: an incarnation or a rumour.
type newsName struct {
	incarnation ident.Incarnation
	rumour      rumourName
}

// news is a piece of news that is still sent on.
type news struct {
	name newsName
	sent int
	// order grows with each piece of news.
	order uint64
	// round is the round of news that last sent it.
	round uint64
	// full is true when the details of a record are news as well.
	full bool
	// bulk is true for rumours that wait for all others.
	bulk bool
}

// queue holds the news that are still sent on. News of the same name replace one
// another, so the queue is never longer than what there is to know.
type queue struct {
	waiting map[newsName]*news
	order   uint64
	// round counts the rounds of news.
	round uint64
}

func newQueue() *queue {
	return &queue{waiting: make(map[newsName]*news)}
}

func (q *queue) push(name newsName, full, bulk bool) {
	q.order++
	if old, ok := q.waiting[name]; ok {
		full = full || old.full
	}
	q.waiting[name] = &news{name: name, order: q.order, full: full, bulk: bulk}
}

// sorted returns the news in the order in which they should be sent: the ones sent least often first.
func (q *queue) sorted() []*news {
	out := make([]*news, 0, len(q.waiting))
	for _, n := range q.waiting {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b *news) int {
		if a.bulk != b.bulk {
			if b.bulk {
				return -1
			}
			return 1
		}
		if a.sent != b.sent {
			return cmp.Compare(a.sent, b.sent)
		}
		return cmp.Compare(a.order, b.order)
	})
	return out
}

// sent notes that n went to some members and drops it when that was often enough.
func (q *queue) sent(n *news, times, members int) {
	n.sent += times
	n.round = q.round
	if n.sent >= transmits(members) {
		delete(q.waiting, n.name)
	}
}

// transmits returns how often each node sends a piece of news on in a site of so many members.
func transmits(members int) int {
	return max(minTransmits, transmitFactor*int(math.Ceil(math.Log10(float64(members+1)))))
}
