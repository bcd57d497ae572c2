package capacity

import (
	"context"
	"net/http"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

// LoadOrder orders an engine to load a model, version or adapter. Giving it again,
// or late, does no harm.
type LoadOrder struct {
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	Fencing lease.Fence   `json:"fencing"`
}

// RoleOrder orders an engine to change its role, such as to compute prompts only; an
// empty role is the one that it has by itself. Given late it would undo a later one,
// so only engines that check fencing numbers get it.
type RoleOrder struct {
	Role    ident.Role  `json:"role"`
	Fencing lease.Fence `json:"fencing"`
}

// EngineLoad is what an engine says of its load.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Engines are the model engines. Errors are *rest.Error.
type Engines interface {
	// Load gives the engine at address (IP and port) an order.
	Load(ctx context.Context, address string, order LoadOrder) error
	// TakeRole gives the engine at address an order.
	TakeRole(ctx context.Context, address string, order RoleOrder) error
	// Status asks the engine at address for its load.
	Status(ctx context.Context, address string) (EngineLoad, error)
}

// HTTPEngines are Engines over HTTP.
type HTTPEngines struct{}

// wireOrder is an order as engines read it.
type wireOrder struct {
	Order string `json:"order"`
	LoadOrder
}

// wireRole is an order to take a role as engines read it.
type wireRole struct {
	Order string `json:"order"`
	RoleOrder
}

// Load gives the engine at address an order.
func (HTTPEngines) Load(ctx context.Context, address string, order LoadOrder) error {
	return give(ctx, address, wireOrder{Order: "load", LoadOrder: order})
}

// TakeRole gives the engine at address an order.
func (HTTPEngines) TakeRole(ctx context.Context, address string, order RoleOrder) error {
	return give(ctx, address, wireRole{Order: "role", RoleOrder: order})
}

// give gives the engine at address an order.
func give(ctx context.Context, address string, order any) error {
	ctx, cancel := context.WithTimeout(ctx, lease.OrderTimeout)
	defer cancel()
	client := rest.NewClient(rest.Options{BaseURL: "http://" + address, CallTimeout: lease.OrderTimeout})
	defer client.Close()
	return client.Do(ctx, http.MethodPost, "/v1/orders", order, nil)
}

// Status asks the engine at address for its load.
func (HTTPEngines) Status(ctx context.Context, address string) (EngineLoad, error) {
	client := rest.NewClient(rest.Options{BaseURL: "http://" + address})
	defer client.Close()
	var out EngineLoad
	err := client.Do(ctx, http.MethodGet, "/v1/load", nil, &out)
	return out, err
}
