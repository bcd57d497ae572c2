package capacity

import (
	"context"
	"net/http"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

// LoadOrder orders an engine to load a model, a version or an adapter. It is harmless when it is
// repeated or arrives late.
type LoadOrder struct {
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	Fencing lease.Fence   `json:"fencing"`
}

// RoleOrder orders an engine to change its role, for instance to prefill only; an empty role means
// the engine's default role. A late role order would override a newer one, so it is sent only to
// engines that check fencing numbers.
type RoleOrder struct {
	Role    ident.Role  `json:"role"`
	Fencing lease.Fence `json:"fencing"`
}

// EngineLoad is an engine's report of its load.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// EngineClient calls the model engines. Its errors are *rest.Error.
type EngineClient interface {
	// Load sends a load order to the engine at address (IP and port).
	Load(ctx context.Context, address string, order LoadOrder) error
	// SetRole sends a role order to the engine at address.
	SetRole(ctx context.Context, address string, order RoleOrder) error
	// Status returns the load of the engine at address.
	Status(ctx context.Context, address string) (EngineLoad, error)
}

// HTTPEngines implements EngineClient over HTTP.
type HTTPEngines struct{}

// wireOrder is the JSON encoding of a load order.
type wireOrder struct {
	Order string `json:"order"`
	LoadOrder
}

// wireRole is the JSON encoding of a role order.
type wireRole struct {
	Order string `json:"order"`
	RoleOrder
}

// Load sends a load order to the engine at address.
func (HTTPEngines) Load(ctx context.Context, address string, order LoadOrder) error {
	return postOrder(ctx, address, wireOrder{Order: "load", LoadOrder: order})
}

// SetRole sends a role order to the engine at address.
func (HTTPEngines) SetRole(ctx context.Context, address string, order RoleOrder) error {
	return postOrder(ctx, address, wireRole{Order: "role", RoleOrder: order})
}

// postOrder sends an order to the engine at address.
func postOrder(ctx context.Context, address string, order any) error {
	ctx, cancel := context.WithTimeout(ctx, lease.OrderTimeout)
	defer cancel()
	client := rest.NewClient(rest.Options{BaseURL: "http://" + address, CallTimeout: lease.OrderTimeout})
	defer client.Close()
	return client.Do(ctx, http.MethodPost, "/v1/orders", order, nil)
}

// Status returns the load of the engine at address.
func (HTTPEngines) Status(ctx context.Context, address string) (EngineLoad, error) {
	client := rest.NewClient(rest.Options{BaseURL: "http://" + address})
	defer client.Close()
	var out EngineLoad
	err := client.Do(ctx, http.MethodGet, "/v1/load", nil, &out)
	return out, err
}
