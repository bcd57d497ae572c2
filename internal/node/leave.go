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
	// drainPollInterval is the interval at which the number of running requests is checked.
	drainPollInterval = 20 * time.Millisecond
	// handOverTimeout limits the hand-over of the witness tables.
	handOverTimeout = 3 * time.Second
	// offerTimeDivisor divides the remaining hand-over time to give the time in which
	// a member has to acknowledge an offer.
	offerTimeDivisor = 3
	// closeTimeout limits the shutdown of the servers.
	closeTimeout = 2 * time.Second
	// releaseMargin is the time before the end of a notice at which requests are released.
	releaseMargin = 700 * time.Millisecond
	// abandonTimeout is the time that an incarnation that was declared dead has to
	// finish requests that it was granted.
	abandonTimeout = 5 * time.Second
	// leaveTimeout limits the announcement to the other members that this node left.
	leaveTimeout = time.Second
	// forwardPeriod is the time for which a node that has handed over still forwards requests.
	forwardPeriod = 300 * time.Millisecond
)

// Drain stops the node gracefully: it waits until ctx ends for requests in progress to
// finish; the remaining ones continue on other nodes.
func (n *Node) Drain(ctx context.Context) {
	n.logger.Info("draining the node", "inProgress", n.dispatcher.Running())
	n.members.SetLeaving()
	n.dispatcher.Drain()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPollInterval)
	}
	n.finish(handOverTimeout)
}

// Reclaim stops the node within the notice period: requests continue here until
// releaseMargin before its end, and then on other nodes.
func (n *Node) Reclaim(notice time.Duration) {
	n.logger.Info("the host is being reclaimed", "notice", notice, "inProgress", n.dispatcher.Running())
	n.members.SetLeaving()
	n.dispatcher.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), max(0, notice-releaseMargin))
	defer cancel()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPollInterval)
	}
	n.finish(min(handOverTimeout, releaseMargin))
}

// Abandon ends an incarnation that was declared dead. Requests that can continue on
// other nodes are released at once, since those may have taken them over already;
// granted requests have abandonTimeout to finish. The witness tables are not handed
// over, since the other nodes already consider them lost.
func (n *Node) Abandon() {
	n.logger.Warn("this incarnation was declared dead; shutting it down", "inProgress", n.dispatcher.Running())
	n.dispatcher.Drain()
	n.dispatcher.ReleaseRequests()
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	for ctx.Err() == nil && n.dispatcher.Running() > 0 {
		wait.For(ctx, drainPollInterval)
	}
	n.close()
}

// finish releases the requests in progress, hands over the witness tables, announces
// that this node left, and shuts it down.
func (n *Node) finish(handOverLimit time.Duration) {
	released := n.dispatcher.ReleaseRequests()
	ctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	defer cancel()
	successor := n.handOver(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := n.members.Leave(leave, successor); err != nil {
		n.logger.Warn("other nodes may not have learned that this node left", "error", err)
	}
	n.logger.Info("left", "released", released, "successor", string(successor))
	n.close()
}

// handOver transfers the witness tables to a successor and returns it, or "" when no
// member could take them. Once a member has acknowledged the offer, no other member
// may become the successor, so no further candidate is tried.
func (n *Node) handOver(ctx context.Context) ident.Incarnation {
	for _, candidate := range successors(n.members.Members(), n.self, n.settings.FailureDomain) {
		err := n.tryHandOver(ctx, candidate)
		if err == nil {
			if err := n.members.SetSuccessor(candidate.Incarnation); err != nil {
				n.logger.Warn("failed to publish the successor", "error", err)
			}
			return candidate.Incarnation
		}
		n.logger.Warn("failed to hand over the witness tables", "successor", string(candidate.Incarnation), "error", err)
		if ctx.Err() != nil || n.witness.Successor() == candidate.Incarnation {
			return ""
		}
	}
	return ""
}

// tryHandOver offers the tables to one member. A member that does not acknowledge is
// given up after a fraction of the remaining time; one that acknowledged gets all
// the time until ctx ends.
func (n *Node) tryHandOver(ctx context.Context, candidate membership.Member) error {
	deadline, _ := ctx.Deadline()
	offer, cancel := context.WithTimeout(ctx, time.Until(deadline)/offerTimeDivisor)
	defer cancel()
	err := n.witness.HandOver(offer, candidate)
	if err != nil && n.witness.Successor() == candidate.Incarnation {
		return n.witness.HandOver(ctx, candidate)
	}
	return err
}

// successors returns the members that may take the witness tables of self. Members of
// other failure domains come first, in random order.
func successors(members []membership.Member, self ident.Incarnation, own ident.FailureDomain) []membership.Member {
	var sameDomain, otherDomains []membership.Member
	for _, member := range members {
		switch {
		case member.Incarnation == self || !member.Usable():
		case member.FailureDomain == own:
			sameDomain = append(sameDomain, member)
		default:
			otherDomains = append(otherDomains, member)
		}
	}
	rand.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	return append(otherDomains, sameDomain...)
}

// close shuts down all servers and background work.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.entry.Shutdown(ctx)
	wait.For(ctx, forwardPeriod)
	n.dispatcher.Stop()
	_ = n.operator.Shutdown(ctx)
	_ = n.peerServer.Shutdown(ctx)
	n.stop()
	n.members.Stop()
	n.peers.Close()
	n.control.wait()
	n.running.Wait()
}
