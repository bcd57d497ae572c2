package settings

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Role is what the bearer of a token may do.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Token is a token that a caller or operator may show, kept as its digest.
type Token struct {
	// Name tells whose token it is, in logs. Required.
	Name string `json:"name"`
	// Role is "caller" or "operator". Required.
	Role Role `json:"role"`
	// Workspace is the caller's workspace. Required for callers.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// SHA256 is the token's SHA-256 digest in hexadecimal. Required.
	SHA256 string `json:"sha256" secret:"true"`
}
