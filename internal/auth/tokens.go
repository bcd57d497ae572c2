// Package auth authenticates callers and operators by bearer tokens.
//
// Invariants: only digests of tokens are kept; the time of a comparison does not depend on
// whether and where the digests differ; no error contains a token.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// bearerScheme is the start of the Authorization header of a bearer token, in lower case.
const bearerScheme = "bearer "

// Tokens is the list of tokens that a node accepts. It is immutable.
type Tokens struct {
	entries []entry
}

// entry is an accepted token and its owner.
type entry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// NewTokens returns the list of the tokens in the settings. It returns an error for a digest that is not
// 64 hexadecimal digits.
func NewTokens(tokens []settings.Token) (*Tokens, error) {
	out := new(Tokens)
	for _, token := range tokens {
		raw, err := hex.DecodeString(token.SHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.Newf("the digest of token %q is not 64 hexadecimal digits", token.Name)
		}
		added := entry{principal: Principal{Name: token.Name, Role: token.Role, Workspace: token.Workspace}}
		copy(added.digest[:], raw)
		out.entries = append(out.entries, added)
	}
	return out, nil
}

// Authenticate returns the owner of token. The error for an unknown token has the verdict NotRun and the
// code unauthorized.
func (t *Tokens) Authenticate(token string) (Principal, *verdict.Error) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		same := subtle.ConstantTimeCompare(digest[:], t.entries[i].digest[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if token == "" || found < 0 {
		return Principal{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "no such token; send it as \"Authorization: Bearer <token>\"")
	}
	return t.entries[found].principal, nil
}

// RequireRole is like Authenticate and also requires a role. The error for another role has the verdict NotRun
// and the code forbidden.
func (t *Tokens) RequireRole(token string, role settings.Role) (Principal, *verdict.Error) {
	principal, refusal := t.Authenticate(token)
	if refusal != nil {
		return Principal{}, refusal
	}
	if principal.Role != role {
		return Principal{}, verdict.New(verdict.NotRun, verdict.CodeForbidden, "token %q has the role %s; this needs the role %s", principal.Name, principal.Role, role)
	}
	return principal, nil
}

// BearerToken returns the bearer token in the Authorization header of r, or "".
func BearerToken(r *http.Request) string {
	header := r.Header.Get("Authorization")
	if len(header) <= len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(header[len(bearerScheme):])
}

// Digest returns the SHA-256 digest of token in hexadecimal, as stored in the settings.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
