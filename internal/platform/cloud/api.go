package cloud

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
)

// API is what the reconciler asks of the cloud. Errors are *rest.Error.
type API interface {
	// Start starts a host, or returns the one that its token started before.
	Start(ctx context.Context, start Start) (Host, error)
	// Terminate ends a host; ending an ended one is no error.
	Terminate(ctx context.Context, host ident.Host) error
	// Hosts lists all hosts, ended ones included for as long as the cloud remembers them.
	Hosts(ctx context.Context) ([]Host, error)
	// Offers lists the pools with their prices.
	Offers(ctx context.Context) ([]Offer, error)
}
