package entry

import (
	"context"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/settings"
)

var _ callerapi.SecurityHandler = (*security)(nil)

// HandleCallerToken lets callers in and remembers who they are.
func (s *security) HandleCallerToken(ctx context.Context, _ callerapi.OperationName, token callerapi.CallerToken) (context.Context, error) {
	principal, refusal := s.tokens.Require(token.Token, settings.RoleCaller)
	if refusal != nil {
		return nil, refusal
	}
	return context.WithValue(ctx, principalKey{}, principal), nil
}
