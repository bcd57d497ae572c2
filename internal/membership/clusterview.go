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

// Members implements View. It includes dead and left members until Timing.Retention has
// passed.
func (c *Cluster) Members() []Member {
	if c.snapshotStale.Load() {
		c.mu.Lock()
		c.snapshotStale.Store(false)
		c.rebuildSnapshot()
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

// OnChange registers f to be called, one call at a time, with each member that changes
// from now on.
func (c *Cluster) OnChange(f func(Member)) {
	c.notifier.addMemberCallback(f)
}

// DeclaredDead returns a channel that is closed when this incarnation learns that it was
// declared dead. The process must then take a new incarnation, by NextIncarnation and a
// new Cluster, or end.
func (c *Cluster) DeclaredDead() <-chan struct{} {
	return c.declaredDead
}

// ReplacedBy returns the live member that has this node's name and a newer incarnation. It
// is found once this incarnation was declared dead because of it, unless the notice of
// death came without the newer incarnation's record.
func (c *Cluster) ReplacedBy() (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, found := c.core.newerIncarnation(c.core.self)
	if !found {
		return Member{}, false
	}
	return c.memberOf(e), true
}

// NextIncarnation returns an incarnation of this node that is newer than every known one.
func (c *Cluster) NextIncarnation() ident.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	node := c.core.self.Node()
	start := c.options.Now()
	next := ident.NewIncarnation(node, start)
	for newest, ok := c.core.newestIncarnation(node); ok && !next.NewerThan(newest); {
		start = start.Add(time.Second)
		next = ident.NewIncarnation(node, start)
	}
	return next
}
