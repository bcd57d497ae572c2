package operator

import (
	"context"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/verdict"
)

// OrderServiceName is the name under which nodes offer OrderService to each other.
const OrderServiceName = "Orders"

// What orders may be about.
const (
	kindNode    = "node"
	kindPoison  = "poison"
	kindLeaving = "leaving"
)

// Order is a drain or clear for one node to carry out.
type Order struct {
	Verb string
	Kind string
	ID   string
}

// OrderReply answers an Order.
type OrderReply struct {
	// Found is false when the node knows no such thing.
	Found bool
}

// OrderService carries orders out on this node, for others by net/rpc.
type OrderService struct {
	local Local
}

// NewOrderService returns the service of local.
func NewOrderService(local Local) *OrderService {
	return &OrderService{local: local}
}

// Carry carries one order out. Carrying it out twice is harmless.
func (s *OrderService) Carry(order *Order, reply *OrderReply) error {
	found, err := s.carry(order)
	reply.Found = found
	return peer.EncodeError(err)
}

func (s *OrderService) carry(order *Order) (bool, error) {
	switch order.Verb + " " + order.Kind {
	case "drain " + kindNode:
		return true, s.local.DrainNode(context.Background())
	case "clear " + kindPoison:
		return s.local.ClearPoison(order.ID)
	case "clear " + kindLeaving:
		return s.local.ClearLeaving(order.ID)
	}
	return false, verdict.New(verdict.NotRun, verdict.CodeBadInput, "this node does not know the order %s %s", order.Verb, order.Kind)
}
