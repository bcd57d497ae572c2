package owner

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Choice is the owner that a reservation is requested from.
type Choice struct {
	Owner ident.Incarnation
	// Address is the owner's peer address.
	Address string
}
