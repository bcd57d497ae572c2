package entry

import (
	"context"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/settings"
)

var _ callerapi.SecurityHandler = (*securityHandler)(nil)

// HandleCallerToken authenticates a caller and stores its principal in the context.
func (s *securityHandler) HandleCallerToken(ctx context.Context, _ callerapi.OperationName, token callerapi.CallerToken) (context.Context, error) {
	principal, refusal := s.tokens.RequireRole(token.Token, settings.RoleCaller)
	if refusal != nil {
		return nil, refusal
	}
	if body := bodyOf(ctx); body != nil {
		body.workspace = string(principal.Workspace)
	}
	return context.WithValue(ctx, principalKey{}, principal), nil
}
