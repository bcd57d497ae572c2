package auth

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
)

// Principal is who showed a token.
type Principal struct {
	// Name tells whose token it is, in logs.
	Name string
	// Role is what the bearer may do.
	Role settings.Role
	// Workspace is the caller's workspace; empty for operators.
	Workspace ident.Workspace
}

// MaySee reports whether the principal may read, resume or cancel what belongs to workspace.
func (p Principal) MaySee(workspace ident.Workspace) bool {
	if p.Role == settings.RoleOperator {
		return true
	}
	return p.Workspace == workspace
}
