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

// orderTimeout limits the time that one node may take to execute an order.
const orderTimeout = 2 * time.Second

// OrderSender sends drain and clear orders to the nodes that they concern.
type OrderSender struct {
	members membership.View
	caller  peer.Caller
	service *OrderService
}

// NewOrderSender returns an OrderSender that reaches this node through service and others
// through caller.
func NewOrderSender(members membership.View, caller peer.Caller, service *OrderService) *OrderSender {
	return &OrderSender{members: members, caller: caller, service: service}
}

// Drain sends an order to drain the node called id; kind must be "node".
func (o *OrderSender) Drain(ctx context.Context, kind, id string) Decision {
	return o.execute(ctx, Order{Verb: "drain", Kind: kind, ID: id})
}

// Clear sends an order to clear the record of kind "poison" or "leaving" called id.
func (o *OrderSender) Clear(ctx context.Context, kind, id string) Decision {
	return o.execute(ctx, Order{Verb: "clear", Kind: kind, ID: id})
}

// orderAnswer is one node's answer to an order.
type orderAnswer struct {
	node  ident.Node
	found bool
	err   error
}

// execute sends the order to every node that it concerns and combines their answers.
func (o *OrderSender) execute(ctx context.Context, order Order) Decision {
	targets := o.targets(order)
	if len(targets) == 0 {
		return Decision{Outcome: OutcomeRefused, Reason: fmt.Sprintf("there is no %s %q; see `show %s`", order.Kind, order.ID, tableListing(order))}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answers := make([]orderAnswer, len(targets))
	var wait sync.WaitGroup
	for i, member := range targets {
		wait.Go(func() { answers[i] = o.sendTo(ctx, member, order) })
	}
	wait.Wait()
	return summarize(order, answers)
}

// targets returns the nodes that an order concerns: the one to be drained, or all. Nodes
// that are dead or have left are omitted.
func (o *OrderSender) targets(order Order) []membership.Member {
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

// sendTo has one node execute the order and returns its answer.
func (o *OrderSender) sendTo(ctx context.Context, member membership.Member, order Order) orderAnswer {
	reply := new(OrderReply)
	var err error
	if member.Incarnation == o.members.Self().Incarnation {
		err = o.service.Carry(&order, reply)
	} else {
		err = o.caller.Call(ctx, member.PeerAddress, OrderServiceName+".Carry", &order, reply)
	}
	return orderAnswer{node: member.Node, found: reply.Found, err: err}
}

// summarize combines the answers: accepted if every node confirmed and one of them knew the
// subject, refused if none knew it, unknown if a confirmation is missing.
func summarize(order Order, answers []orderAnswer) Decision {
	var found, unconfirmed []string
	for _, a := range answers {
		switch {
		case a.err != nil:
			unconfirmed = append(unconfirmed, string(a.node))
		case a.found:
			found = append(found, string(a.node))
		}
	}
	slices.Sort(unconfirmed)
	if len(unconfirmed) > 0 {
		return Decision{Outcome: OutcomeUnknown, Reason: fmt.Sprintf("done by %d nodes, no confirmation from %s", len(found), strings.Join(unconfirmed, ", "))}
	}
	if len(found) == 0 {
		reason := fmt.Sprintf("no node knows %s %q; see `show %s`", order.Kind, order.ID, tableListing(order))
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

// tableListing returns the name of the table that lists the possible subjects of the order.
func tableListing(order Order) string {
	switch order.Kind {
	case kindNode:
		return "nodes"
	case kindPoison:
		return "poison"
	}
	return "upstreams"
}
