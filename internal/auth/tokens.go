// Package auth tells callers and operators apart by the tokens they show.
//
// Invariants: only digests of tokens are kept; every comparison takes the same
// time whether and where the digests differ; a token appears in no error.
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

const bearerScheme = "bearer "

// Tokens is the list of tokens that a node lets in. It never changes.
type Tokens struct {
	entries []entry
}

type entry struct {
	digest    [sha256.Size]byte
	principal Principal
}

// NewTokens reads the tokens of the settings.
func NewTokens(tokens []settings.Token) (*Tokens, error) {
	out := new(Tokens)
	for _, token := range tokens {
		raw, err := hex.DecodeString(token.SHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, errors.Newf("the digest of token %q is not 64 hexadecimal digits", token.Name)
		}
		next := entry{principal: Principal{Name: token.Name, Role: token.Role, Workspace: token.Workspace}}
		copy(next.digest[:], raw)
		out.entries = append(out.entries, next)
	}
	return out, nil
}

// Authenticate returns who showed token. The error is NotRun and unauthorized.
func (t *Tokens) Authenticate(token string) (Principal, *verdict.Error) {
	shown := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		same := subtle.ConstantTimeCompare(shown[:], t.entries[i].digest[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if token == "" || found < 0 {
		return Principal{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "no such token; send it as \"Authorization: Bearer <token>\"")
	}
	return t.entries[found].principal, nil
}

// Require is Authenticate for bearers of one role only. The error of another role is NotRun and forbidden.
func (t *Tokens) Require(token string, role settings.Role) (Principal, *verdict.Error) {
	principal, refusal := t.Authenticate(token)
	if refusal != nil {
		return Principal{}, refusal
	}
	if principal.Role != role {
		return Principal{}, verdict.New(verdict.NotRun, verdict.CodeForbidden, "token %q has the role %s; this needs the role %s", principal.Name, principal.Role, role)
	}
	return principal, nil
}

// Bearer returns the token that r shows, or "".
func Bearer(r *http.Request) string {
	header := r.Header.Get("Authorization")
	if len(header) <= len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(header[len(bearerScheme):])
}

// Digest returns the form in which settings keep token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
