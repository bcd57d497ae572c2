package entry

import (
	"context"

	"mangoledge.example/mangoledge/internal/auth"
)

// principalKey is the context key of the caller.
type principalKey struct{}

// principalOf returns the caller that security put into ctx.
func principalOf(ctx context.Context) auth.Principal {
	principal, _ := ctx.Value(principalKey{}).(auth.Principal)
	return principal
}
