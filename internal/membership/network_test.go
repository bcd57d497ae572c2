package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

const networkStep = 100 * time.Millisecond

// flight is a datagram on its way.
type flight struct {
	from string
	packet
	arriveAt time.Time
}

// network carries datagrams between cores in a time of its own, with faults.
type network struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	cores   []*core
	at      map[string]*core
	paused  map[*core]bool
	flights []flight
	// loss is the share of datagrams that are lost, repeated the share that arrive twice.
	loss, repeated float64
	// delay is the most that a datagram takes; a wide range reorders them.
	delay time.Duration
	// cut reports whether datagrams between two members are lost.
	cut func(a, b *core) bool
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t:      t,
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    time.Unix(1_700_000_000, 0),
		at:     make(map[string]*core),
		paused: make(map[*core]bool),
		delay:  2 * time.Millisecond,
		cut:    func(*core, *core) bool { return false },
	}
}

// add starts a member of a region and failure domain; the first one is everybody's seed.
func (n *network) add(node string, region ident.Region, domain ident.FailureDomain) *core {
	address := fmt.Sprintf("10.0.%d.%d:7", len(n.cores)/250, len(n.cores)%250)
	self := recordOf(Member{
		Incarnation: ident.NewIncarnation(ident.Node(node), n.now),
		PeerAddress: address, Region: region, FailureDomain: domain,
	})
	var seeds []string
	if len(n.cores) > 0 {
		seeds = []string{n.cores[0].table.entries[n.cores[0].self].Details.PeerAddress}
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	c := newCore(self, seeds, "secret", DefaultTiming(), random, n.now)
	n.cores = append(n.cores, c)
	n.at[address] = c
	return c
}

// addMany starts members spread over three failure domains of each region and waits until they know each other.
func (n *network) addMany(perRegion int, regions ...ident.Region) {
	for _, region := range regions {
		for i := range perRegion {
			domain := ident.FailureDomain(fmt.Sprintf("%s-d%d", region, i%3))
			n.add(fmt.Sprintf("%s-n%d", region, i), region, domain)
		}
	}
	n.until(time.Minute, func() bool { return n.agree(n.cores, n.cores, StateAlive) })
}

// agree reports whether all observers hold all subjects but themselves for state.
func (n *network) agree(observers, subjects []*core, state State) bool {
	for _, o := range observers {
		for _, s := range subjects {
			if o == s {
				continue
			}
			e, ok := o.table.entries[s.self]
			if !ok || e.state() != state || !e.complete() {
				return false
			}
		}
	}
	return true
}

// run lets time pass and calls check after each step.
func (n *network) run(length time.Duration, check func()) {
	for end := n.now.Add(length); n.now.Before(end); {
		n.step()
		check()
	}
}

// until lets time pass until condition holds and fails the test when that takes longer than limit.
func (n *network) until(limit time.Duration, condition func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !condition() {
		require.Less(n.t, n.now.Sub(start), limit)
		n.step()
	}
	return n.now.Sub(start)
}

func (n *network) step() {
	n.now = n.now.Add(networkStep)
	for _, c := range n.cores {
		if !n.paused[c] {
			c.tick(n.now)
		}
		n.collect(c)
	}
	for range 4 { // answers within one step
		n.deliver()
	}
}

func (n *network) collect(c *core) {
	from := c.table.entries[c.self].Details.PeerAddress
	for _, p := range c.out {
		copies := 1
		if n.random.Float64() < n.repeated {
			copies = 2
		}
		for range copies {
			delay := time.Duration(n.random.Int64N(int64(n.delay)))
			n.flights = append(n.flights, flight{from: from, packet: p, arriveAt: n.now.Add(delay - networkStep)})
		}
	}
	c.out = nil
	c.changed = nil
}

func (n *network) deliver() {
	var later []flight
	arrivals := n.flights
	n.flights = nil
	slices.SortStableFunc(arrivals, func(a, b flight) int { return a.arriveAt.Compare(b.arriveAt) })
	for _, f := range arrivals {
		to := n.at[f.address]
		if f.arriveAt.After(n.now) {
			later = append(later, f)
			continue
		}
		if to == nil || n.paused[to] || n.cut(n.at[f.from], to) || n.random.Float64() < n.loss {
			continue
		}
		require.LessOrEqual(n.t, len(f.data), maxDatagramBytes)
		to.receive(n.now, f.from, f.data)
		n.collect(to)
	}
	n.flights = append(n.flights, later...)
}

func (n *network) publish(c *core, r Rumour) {
	c.rumours.join(n.now, r, r.Topic.life())
	c.pushRumour(r)
}

func (n *network) heard(cores []*core, r Rumour) bool {
	for _, c := range cores {
		held, ok := c.rumours.held[r.name()]
		if !ok || held.Version != r.Version {
			return false
		}
	}
	return true
}

func region(c *core) ident.Region {
	return c.table.entries[c.self].Details.Region
}

func domain(c *core) ident.FailureDomain {
	return c.table.entries[c.self].Details.FailureDomain
}

func (n *network) where(keep func(*core) bool) []*core {
	return slices.DeleteFunc(slices.Clone(n.cores), func(c *core) bool { return !keep(c) })
}
