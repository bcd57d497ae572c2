package entry

import (
	"context"

	"mangoledge.example/mangoledge/internal/auth"
)

// principalKey is the context key of the authenticated caller.
type principalKey struct{}

// principalOf returns the authenticated caller that securityHandler stored in ctx.
func principalOf(ctx context.Context) auth.Principal {
	principal, _ := ctx.Value(principalKey{}).(auth.Principal)
	return principal
}
