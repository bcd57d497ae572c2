package cloud

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
)

// API is the part of the cloud API that the reconciler uses. Errors are *rest.Error.
type API interface {
	// Start starts a host, or returns the one already started with the same client token.
	Start(ctx context.Context, start Start) (Host, error)
	// Terminate terminates a host; it is no error if the host is already terminated.
	Terminate(ctx context.Context, host ident.Host) error
	// Hosts lists all hosts, including terminated ones for as long as the cloud retains them.
	Hosts(ctx context.Context) ([]Host, error)
	// Offers lists the pools with their prices.
	Offers(ctx context.Context) ([]Offer, error)
}
