package membership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

// leaveRounds is how many gossip rounds Leave waits so that the other members learn of it.
const leaveRounds = 6

var (
	// ErrSuccessorNamed is returned when a different successor was already set.
	ErrSuccessorNamed = errors.New("another successor is already set and cannot be replaced")
	// ErrDeclaredDead is returned when this incarnation was declared dead.
	ErrDeclaredDead = errors.New("this incarnation was declared dead")
)

// SetLeaving announces that this member takes no new duties. It cannot be undone.
func (c *Cluster) SetLeaving() {
	c.runStep(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		own.Draining = true
		c.core.applyRecord(now, own, 0)
	})
}

// SetSuccessor announces the incarnation that took over this member's witness table. It
// returns ErrSuccessorNamed when a different one was set before, and ErrDeclaredDead when
// this incarnation was declared dead.
func (c *Cluster) SetSuccessor(successor ident.Incarnation) error {
	return c.announceEnd(successor, finalNone)
}

// Leave announces that this member leaves, and its successor unless that is empty, and
// waits for leaveRounds gossip rounds or until ctx ends. Stop must be called afterwards.
// It returns the same errors as SetSuccessor.
func (c *Cluster) Leave(ctx context.Context, successor ident.Incarnation) error {
	if err := c.announceEnd(successor, finalLeft); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-c.stop:
	case <-time.After(leaveRounds * c.options.Timing.GossipInterval):
	}
	return nil
}

// announceEnd marks this member as draining, sets its successor and raises its finality.
func (c *Cluster) announceEnd(successor ident.Incarnation, final finality) error {
	var err error
	c.runStep(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		switch {
		case c.core.selfDead:
			err = ErrDeclaredDead
		case successor != "" && own.Successor != "" && own.Successor != successor:
			err = ErrSuccessorNamed
		default:
			own.Draining = true
			own.Successor = mergeSuccessor(own.Successor, successor)
			own.Final = max(own.Final, final)
			c.core.applyRecord(now, own, 0)
		}
	})
	return err
}
