package config

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// Proposal is a configuration change that an operator requests.
type Proposal struct {
	// Change is the ID of the change; sending it again with the same edits is idempotent.
	Change ident.Change `json:"change"`
	// BaseVersion is the version that the operator saw; 0 applies the edits to the current version.
	BaseVersion uint64 `json:"baseVersion"`
	// Edits are applied in order.
	Edits []Edit `json:"edits"`
}

// digest returns a hash of the proposal without its ID.
func (p *Proposal) digest() uint64 {
	q := *p
	q.Change = ""
	data, err := json.Marshal(q)
	if err != nil {
		return 0 // unreachable: every field can be encoded
	}
	return xxhash.Sum64(data)
}

// summary returns the edits as operator commands, truncated to maxSummaryBytes.
func (p *Proposal) summary() string {
	parts := make([]string, 0, len(p.Edits))
	for _, e := range p.Edits {
		parts = append(parts, e.String())
	}
	all := strings.Join(parts, "; ")
	if len(all) <= maxSummaryBytes {
		return all
	}
	return strings.ToValidUTF8(all[:maxSummaryBytes], "") + "…"
}
