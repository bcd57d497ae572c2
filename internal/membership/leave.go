package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

// leaveRounds is for how many rounds of news a leaving member waits until the others have heard of it.
const leaveRounds = 6

var (
	// ErrSuccessorNamed is returned when another successor was named before.
	ErrSuccessorNamed = errors.New("a successor was named before, and there is one for ever")
	// ErrDeclaredDead is returned to an incarnation that was declared dead.
	ErrDeclaredDead = errors.New("this incarnation was declared dead")
)

// SetLeaving tells the others that this member takes no new duties. It can't be taken back.
func (c *Cluster) SetLeaving() {
	c.do(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		own.Draining = true
		c.core.learn(now, own, 0)
	})
}

// SetSuccessor names the incarnation that took over this member's witness table.
// It returns ErrSuccessorNamed when another was named before, and ErrDeclaredDead.
func (c *Cluster) SetSuccessor(successor ident.Incarnation) error {
	return c.end(successor, finalNone)
}

// Leave tells the others that this member leaves and who took over its witness
// table, if anybody did, and waits until they had time to hear it or ctx ends.
// Stop has to be called after it. It returns the errors of SetSuccessor.
func (c *Cluster) Leave(ctx context.Context, successor ident.Incarnation) error {
	if err := c.end(successor, finalLeft); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-c.stop:
	case <-time.After(leaveRounds * c.options.Timing.Gossip):
	}
	return nil
}

func (c *Cluster) end(successor ident.Incarnation, final finality) error {
	var err error
	c.do(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		switch {
		case c.core.selfDead:
			err = ErrDeclaredDead
		case successor != "" && own.Successor != "" && own.Successor != successor:
			err = ErrSuccessorNamed
		default:
			own.Draining = true
			own.Successor = joinSuccessor(own.Successor, successor)
			own.Final = max(own.Final, final)
			c.core.learn(now, own, 0)
		}
	})
	return err
}
