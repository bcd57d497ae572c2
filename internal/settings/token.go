package settings

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Role determines what the bearer of a token may do.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Token is the digest of a token that a caller or operator authenticates with, and who may use it.
type Token struct {
	// Name identifies the token's owner in logs. Required.
	Name string `json:"name"`
	// Role is "caller" or "operator". Required.
	Role Role `json:"role"`
	// Workspace is the caller's workspace. Required for callers.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// SHA256 is the token's SHA-256 digest in hexadecimal. Required.
	SHA256 string `json:"sha256" secret:"true"`
}
