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

// networkStep is the simulated time between two ticks of the members.
const networkStep = 100 * time.Millisecond

// inFlight is a datagram in transit.
type inFlight struct {
	from string
	packet
	arriveAt time.Time
}

// network simulates datagram delivery between cores in simulated time, with faults.
type network struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	cores     []*core
	byAddress map[string]*core
	suspended map[*core]bool
	inFlight  []inFlight
	// loss is the share of datagrams that are lost, duplicated the share that arrive
	// twice.
	loss, duplicated float64
	// delay is the upper limit of the random transit time; a high limit reorders
	// datagrams.
	delay time.Duration
	// partitioned reports whether datagrams between two members are dropped.
	partitioned func(a, b *core) bool
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, seed)),
		now:         time.Unix(1_700_000_000, 0),
		byAddress:   make(map[string]*core),
		suspended:   make(map[*core]bool),
		delay:       2 * time.Millisecond,
		partitioned: func(*core, *core) bool { return false },
	}
}

// add starts a member in a region and failure domain; the first member is the seed of all
// others.
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
	n.byAddress[address] = c
	return c
}

// addMany starts perRegion members in each region, spread over three failure domains, and
// waits until all see each other alive.
func (n *network) addMany(perRegion int, regions ...ident.Region) {
	for _, region := range regions {
		for i := range perRegion {
			domain := ident.FailureDomain(fmt.Sprintf("%s-d%d", region, i%3))
			n.add(fmt.Sprintf("%s-n%d", region, i), region, domain)
		}
	}
	n.runUntil(time.Minute, func() bool { return n.allSee(n.cores, n.cores, StateAlive) })
}

// allSee reports whether all observers see all subjects except themselves in state.
func (n *network) allSee(observers, subjects []*core, state State) bool {
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

// run advances the simulated time by length and calls check after each step.
func (n *network) run(length time.Duration, check func()) {
	for end := n.now.Add(length); n.now.Before(end); {
		n.step()
		check()
	}
}

// runUntil advances the simulated time until condition holds and fails the test after
// limit.
func (n *network) runUntil(limit time.Duration, condition func() bool) time.Duration {
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
		if !n.suspended[c] {
			c.tick(n.now)
		}
		n.takeOutput(c)
	}
	for range 4 { // allows for answers within one step
		n.deliver()
	}
}

func (n *network) takeOutput(c *core) {
	from := c.table.entries[c.self].Details.PeerAddress
	for _, p := range c.outgoing {
		copies := 1
		if n.random.Float64() < n.duplicated {
			copies = 2
		}
		for range copies {
			delay := time.Duration(n.random.Int64N(int64(n.delay)))
			n.inFlight = append(n.inFlight, inFlight{from: from, packet: p, arriveAt: n.now.Add(delay - networkStep)})
		}
	}
	c.outgoing = nil
	c.changes = nil
}

func (n *network) deliver() {
	var later []inFlight
	arrivals := n.inFlight
	n.inFlight = nil
	slices.SortStableFunc(arrivals, func(a, b inFlight) int { return a.arriveAt.Compare(b.arriveAt) })
	for _, f := range arrivals {
		to := n.byAddress[f.address]
		if f.arriveAt.After(n.now) {
			later = append(later, f)
			continue
		}
		if to == nil || n.suspended[to] || n.partitioned(n.byAddress[f.from], to) || n.random.Float64() < n.loss {
			continue
		}
		require.LessOrEqual(n.t, len(f.data), maxDatagramBytes)
		to.receive(n.now, f.from, f.data)
		n.takeOutput(to)
	}
	n.inFlight = append(n.inFlight, later...)
}

func (n *network) publish(c *core, r Rumour) {
	c.rumours.merge(n.now, r, r.Topic.ttl())
	c.broadcastRumour(r)
}

func (n *network) allHave(cores []*core, r Rumour) bool {
	for _, c := range cores {
		stored, ok := c.rumours.entries[r.id()]
		if !ok || stored.Version != r.Version {
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

func (n *network) selectCores(keep func(*core) bool) []*core {
	return slices.DeleteFunc(slices.Clone(n.cores), func(c *core) bool { return !keep(c) })
}
