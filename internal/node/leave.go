package node

import (
	"context"
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// drainPoll is the time between two looks at what is still in progress.
	drainPoll = 20 * time.Millisecond
	// handOverTime is how long the hand-over of the witness tables may take.
	handOverTime = 3 * time.Second
	// offerShare is the part of the hand-over's time, as one in so many, that a member has to acknowledge.
	offerShare = 3
	// closeTime is how long listeners may take to close.
	closeTime = 2 * time.Second
	// releaseMargin is how long before the end of a notice requests are given up.
	releaseMargin = 700 * time.Millisecond
	// abandonTime is how long an incarnation that was declared dead may finish what it was granted.
	abandonTime = 5 * time.Second
	// leaveTime is how long the others may take to hear of the end.
	leaveTime = time.Second
	// forwardTime is how long a node that has handed over still forwards.
	forwardTime = 300 * time.Millisecond
)

// Drain stops the node by plan: requests in progress end first, for as long as
// ctx lasts; what is left then goes on at other nodes.
func (n *Node) Drain(ctx context.Context) {
	n.logger.Info("stopping by plan", "inProgress", n.dispatcher.Running())
	n.members.SetLeaving()
	n.dispatcher.Drain()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPoll)
	}
	n.finish(handOverTime)
}

// Reclaim leaves within notice: requests go on here while there is time, and
// then at other nodes.
func (n *Node) Reclaim(notice time.Duration) {
	n.logger.Info("the host is being reclaimed", "notice", notice, "inProgress", n.dispatcher.Running())
	n.members.SetLeaving()
	n.dispatcher.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), max(0, notice-releaseMargin))
	defer cancel()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPoll)
	}
	n.finish(min(handOverTime, releaseMargin))
}

// Abandon ends an incarnation that was declared dead. What may go on elsewhere
// is given up at once, since other nodes may have taken it over; what was granted
// has a short while to end. Its witness tables are lost to the others already.
func (n *Node) Abandon() {
	n.logger.Warn("this incarnation was declared dead and ends", "inProgress", n.dispatcher.Running())
	n.dispatcher.Drain()
	n.dispatcher.ReleaseRequests()
	ctx, cancel := context.WithTimeout(context.Background(), abandonTime)
	defer cancel()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPoll)
	}
	n.close()
}

// finish gives up what is in progress, hands over and ends.
func (n *Node) finish(handOver time.Duration) {
	released := n.dispatcher.ReleaseRequests()
	ctx, cancel := context.WithTimeout(context.Background(), handOver)
	defer cancel()
	successor := n.handOver(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTime)
	defer cancelLeave()
	if err := n.members.Leave(leave, successor); err != nil {
		n.logger.Warn("the others may not have heard that this node left", "error", err)
	}
	n.logger.Info("left", "released", released, "successor", string(successor))
	n.close()
}

// handOver moves the witness tables to a successor and names it; it names none
// when no member could take them. A successor that has acknowledged the offer is
// the only one for ever: it is asked again until ctx ends.
func (n *Node) handOver(ctx context.Context) ident.Incarnation {
	for _, candidate := range successors(n.members.Members(), n.self, n.settings.FailureDomain) {
		err := n.tryHandOver(ctx, candidate)
		if err == nil {
			if err := n.members.SetSuccessor(candidate.Incarnation); err != nil {
				n.logger.Warn("the successor could not be named", "error", err)
			}
			return candidate.Incarnation
		}
		n.logger.Warn("hand-over of the witness tables failed", "successor", string(candidate.Incarnation), "error", err)
		if ctx.Err() != nil || n.witness.Successor() == candidate.Incarnation {
			return ""
		}
	}
	return ""
}

// tryHandOver offers the tables to one member: for a part of the time as long as
// it has not acknowledged, then for all that is left.
func (n *Node) tryHandOver(ctx context.Context, candidate membership.Member) error {
	deadline, _ := ctx.Deadline()
	offer, cancel := context.WithTimeout(ctx, time.Until(deadline)/offerShare)
	defer cancel()
	err := n.witness.HandOver(offer, candidate)
	if err != nil && n.witness.Successor() == candidate.Incarnation {
		return n.witness.HandOver(ctx, candidate)
	}
	return err
}

// successors returns the members that may take the witness tables of self, those of
// other failure domains than its own first.
func successors(members []membership.Member, self ident.Incarnation, own ident.FailureDomain) []membership.Member {
	var near, far []membership.Member
	for _, member := range members {
		switch {
		case member.Incarnation == self || !member.Usable():
		case member.FailureDomain == own:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(far, near...)
}

// close ends every listener and all background work.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	_ = n.entry.Shutdown(ctx)
	wait.For(ctx, forwardTime)
	n.dispatcher.Stop()
	_ = n.operator.Shutdown(ctx)
	_ = n.peerServer.Shutdown(ctx)
	n.stop()
	n.members.Stop()
	n.peers.Close()
	n.control.wait()
	n.running.Wait()
}
