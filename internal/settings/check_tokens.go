package settings

import (
	"encoding/hex"
	"fmt"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

func (c *checker) checkTokens(tokens []Token) {
	names := make(map[string]bool)
	digests := make(map[string]bool)
	for i, token := range tokens {
		path := fmt.Sprintf("tokens[%d].", i)
		c.checkName(path+"name", token.Name, true)
		if token.Name != "" && names[token.Name] {
			c.addFault(path+"name", token.Name, "a name that no other token has is allowed")
		}
		names[token.Name] = true
		c.checkRole(path, token.Role, token.Workspace)
		c.checkDigest(path+"sha256", token.SHA256, digests)
	}
}

// checkRole checks that the role is known and that exactly callers have a workspace.
func (c *checker) checkRole(path string, role Role, workspace ident.Workspace) {
	switch role {
	case RoleCaller:
		c.checkName(path+"workspace", string(workspace), true)
	case RoleOperator:
		if workspace != "" {
			c.addFault(path+"workspace", workspace, "no workspace is allowed for the role operator")
		}
	default:
		c.addFault(path+"role", role, `"caller" or "operator" is allowed`)
	}
}

// checkDigest checks that digest is a SHA-256 digest that is not in seen, and adds it to seen. Its faults
// do not contain the digest, which is secret.
func (c *checker) checkDigest(path, digest string, seen map[string]bool) {
	const allowed = "64 hexadecimal digits are allowed: the SHA-256 digest of the token"
	if raw, err := hex.DecodeString(digest); err != nil || len(raw)*2 != sha256HexLength {
		c.faults = append(c.faults, Fault{Path: path, Allowed: allowed})
		return
	}
	digest = strings.ToLower(digest)
	if seen[digest] {
		c.faults = append(c.faults, Fault{Path: path, Allowed: "a token that is not listed yet is allowed"})
	}
	seen[digest] = true
}
