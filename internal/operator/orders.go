package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
)

// orderTimeout is how long one node may take to carry an order out.
const orderTimeout = 2 * time.Second

// Orders carries drain and clear to every node that they concern.
type Orders struct {
	members membership.View
	caller  peer.Caller
	service *OrderService
}

// NewOrders returns Orders that act on this node through service and on others by caller.
func NewOrders(members membership.View, caller peer.Caller, service *OrderService) *Orders {
	return &Orders{members: members, caller: caller, service: service}
}

// Drain drains a node.
func (o *Orders) Drain(ctx context.Context, kind, id string) Decision {
	return o.carry(ctx, Order{Verb: "drain", Kind: kind, ID: id})
}

// Clear takes poison or leaving back.
func (o *Orders) Clear(ctx context.Context, kind, id string) Decision {
	return o.carry(ctx, Order{Verb: "clear", Kind: kind, ID: id})
}

// answer is one node's answer to an order.
type answer struct {
	node  ident.Node
	found bool
	err   error
}

// carry gives the order to every node that it concerns and sums their answers up.
func (o *Orders) carry(ctx context.Context, order Order) Decision {
	targets := o.targets(order)
	if len(targets) == 0 {
		return Decision{Outcome: OutcomeRefused, Reason: fmt.Sprintf("there is no %s %q; see `show %s`", order.Kind, order.ID, tableOf(order))}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answers := make([]answer, len(targets))
	var wait sync.WaitGroup
	for i, member := range targets {
		wait.Go(func() { answers[i] = o.give(ctx, member, order) })
	}
	wait.Wait()
	return sum(order, answers)
}

// targets are the nodes that an order concerns: the one to be drained, or all that take part.
func (o *Orders) targets(order Order) []membership.Member {
	var out []membership.Member
	for _, member := range o.members.Members() {
		if member.State == membership.StateDead || member.State == membership.StateLeft {
			continue
		}
		if order.Kind != kindNode || string(member.Node) == order.ID {
			out = append(out, member)
		}
	}
	return out
}

func (o *Orders) give(ctx context.Context, member membership.Member, order Order) answer {
	reply := new(OrderReply)
	var err error
	if member.Incarnation == o.members.Self().Incarnation {
		err = o.service.Carry(&order, reply)
	} else {
		err = o.caller.Call(ctx, member.PeerAddress, OrderServiceName+".Carry", &order, reply)
	}
	return answer{node: member.Node, found: reply.Found, err: err}
}

// sum says accepted only when every node asked has confirmed.
func sum(order Order, answers []answer) Decision {
	var found, silent []string
	for _, a := range answers {
		switch {
		case a.err != nil:
			silent = append(silent, string(a.node))
		case a.found:
			found = append(found, string(a.node))
		}
	}
	slices.Sort(silent)
	if len(silent) > 0 {
		return Decision{Outcome: OutcomeUnknown, Reason: fmt.Sprintf("done by %d nodes, no confirmation from %s", len(found), strings.Join(silent, ", "))}
	}
	if len(found) == 0 {
		reason := fmt.Sprintf("no node knows %s %q; see `show %s`", order.Kind, order.ID, tableOf(order))
		if order.Kind == kindLeaving {
			reason += "; a drain is taken back by `clear drain`, see `show drains`"
		}
		return Decision{Outcome: OutcomeRefused, Reason: reason}
	}
	reason := fmt.Sprintf("%s %s %s: done by %d of %d nodes", order.Verb, order.Kind, order.ID, len(found), len(answers))
	if len(found) < len(answers) {
		reason += "; the others do not know it"
	}
	return Decision{Outcome: OutcomeAccepted, Reason: reason}
}

func tableOf(order Order) string {
	switch order.Kind {
	case kindNode:
		return "nodes"
	case kindPoison:
		return "poison"
	}
	return "upstreams"
}
