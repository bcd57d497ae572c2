package auth

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

func newTestTokens(t *testing.T) *Tokens {
	t.Helper()
	tokens, err := NewTokens([]settings.Token{
		{Name: "field", Role: settings.RoleCaller, Workspace: "audits", SHA256: Digest("c-secret")},
		{Name: "desk", Role: settings.RoleOperator, SHA256: Digest("o-secret")},
	})
	require.NoError(t, err)
	return tokens
}

func TestAuthenticateReturnsRoleAndWorkspace(t *testing.T) {
	tokens := newTestTokens(t)
	caller, refusal := tokens.Authenticate("c-secret")
	require.Nil(t, refusal)
	require.Equal(t, Principal{Name: "field", Role: settings.RoleCaller, Workspace: "audits"}, caller)
	require.True(t, caller.MayAccess("audits"))
	require.False(t, caller.MayAccess("other"))

	operator, refusal := tokens.RequireRole("o-secret", settings.RoleOperator)
	require.Nil(t, refusal)
	require.True(t, operator.MayAccess("other"))
}

func TestErrorsForWrongTokensDoNotContainTheToken(t *testing.T) {
	tokens := newTestTokens(t)
	for _, token := range []string{"", "c-secre", "c-secret ", Digest("c-secret")} {
		_, refusal := tokens.Authenticate(token)
		require.NotNil(t, refusal, token)
		require.Equal(t, verdict.CodeUnauthorized, refusal.Code)
		require.Equal(t, verdict.NotRun, refusal.Verdict)
		if token != "" {
			require.NotContains(t, refusal.Error(), token)
		}
	}
	_, refusal := tokens.RequireRole("c-secret", settings.RoleOperator)
	require.NotNil(t, refusal)
	require.Equal(t, verdict.CodeForbidden, refusal.Code)
	require.NotContains(t, refusal.Error(), "c-secret")
}

func TestInvalidDigestIsAnError(t *testing.T) {
	_, err := NewTokens([]settings.Token{{Name: "x", SHA256: "abcd"}})
	require.ErrorContains(t, err, `"x"`)
}

func TestBearerTokenIsReadFromHeader(t *testing.T) {
	for header, want := range map[string]string{"Bearer abc": "abc", "bearer  abc ": "abc", "Basic abc": "", "": "", "Bearer ": ""} {
		r := &http.Request{Header: http.Header{"Authorization": {header}}}
		require.Equal(t, want, BearerToken(r), header)
	}
}
