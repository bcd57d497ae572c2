package membership

import (
	"slices"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Self implements View.
func (c *Cluster) Self() Member {
	m, _ := c.Lookup(c.options.Self.Incarnation)
	return m
}

// Members implements View. Dead and left members are in it for as long as they are remembered.
func (c *Cluster) Members() []Member {
	if c.outdated.Load() {
		c.mu.Lock()
		c.outdated.Store(false)
		c.refresh()
		c.mu.Unlock()
	}
	return *c.snapshot.Load()
}

// Lookup implements View.
func (c *Cluster) Lookup(incarnation ident.Incarnation) (Member, bool) {
	members := c.Members()
	i, found := slices.BinarySearchFunc(members, incarnation, func(m Member, wanted ident.Incarnation) int {
		return strings.Compare(string(m.Incarnation), string(wanted))
	})
	if !found {
		return Member{}, false
	}
	return members[i], true
}

// OnChange has f called, one call at a time, with each member that changes from now on.
func (c *Cluster) OnChange(f func(Member)) {
	c.notifier.onMember(f)
}

// DeclaredDead is closed when this incarnation finds that it was declared dead.
// The process then takes a new incarnation, by NextIncarnation and a new Cluster, or ends.
func (c *Cluster) DeclaredDead() <-chan struct{} {
	return c.dead
}

// Rival returns the live member that has this node's name and a newer
// incarnation. It is found once this incarnation was declared dead for it, unless
// the news of its death came without.
func (c *Cluster) Rival() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.core.successorInName(c.core.self)
	if !found {
		return Member{}, false
	}
	return c.memberOf(e), true
}

// NextIncarnation makes an incarnation of this node that is newer than all that are known of it.
func (c *Cluster) NextIncarnation() ident.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	node := c.core.self.Node()
	start := c.options.Now()
	next := ident.NewIncarnation(node, start)
	for newest, ok := c.core.newestOf(node); ok && !next.NewerThan(newest); {
		start = start.Add(time.Second)
		next = ident.NewIncarnation(node, start)
	}
	return next
}
