package operator

import (
	"context"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/verdict"
)

// OrderServiceName is the net/rpc name of OrderService.
const OrderServiceName = "Orders"

// The kinds of subjects of an order.
const (
	kindNode    = "node"
	kindPoison  = "poison"
	kindLeaving = "leaving"
)

// Order tells a node to execute a drain or clear command.
type Order struct {
	Verb string
	Kind string
	ID   string
}

// OrderReply answers an Order.
type OrderReply struct {
	// Found is false if the node does not know the subject of the order.
	Found bool
}

// OrderService executes orders on this node; other nodes call it by net/rpc.
type OrderService struct {
	executor OrderExecutor
}

// NewOrderService returns an OrderService that executes orders through executor.
func NewOrderService(executor OrderExecutor) *OrderService {
	return &OrderService{executor: executor}
}

// Carry executes one order; it is idempotent.
func (s *OrderService) Carry(order *Order, reply *OrderReply) error {
	found, err := s.execute(order)
	reply.Found = found
	return peer.EncodeError(err)
}

// execute executes an order and reports whether this node knows its subject. An order that
// it does not understand is an error of code bad_input.
func (s *OrderService) execute(order *Order) (bool, error) {
	switch order.Verb + " " + order.Kind {
	case "drain " + kindNode:
		return true, s.executor.DrainNode(context.Background())
	case "clear " + kindPoison:
		return s.executor.ClearPoison(order.ID)
	case "clear " + kindLeaving:
		return s.executor.ClearLeaving(order.ID)
	}
	return false, verdict.New(verdict.NotRun, verdict.CodeBadInput, "this node does not know the order %s %s", order.Verb, order.Kind)
}
