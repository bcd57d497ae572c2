package auth

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
)

// Principal is the authenticated owner of a token.
type Principal struct {
	// Name identifies the owner in logs.
	Name string
	// Role determines what the owner may do.
	Role settings.Role
	// Workspace is the caller's workspace; empty for operators.
	Workspace ident.Workspace
}

// MayAccess reports whether the principal may read, resume or cancel the requests of workspace.
func (p Principal) MayAccess(workspace ident.Workspace) bool {
	if p.Role == settings.RoleOperator {
		return true
	}
	return p.Workspace == workspace
}
