package owner

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Choice is the owner to ask.
type Choice struct {
	Owner ident.Incarnation
	// Address is the owner's peer address.
	Address string
}
