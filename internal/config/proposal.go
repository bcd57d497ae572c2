package config

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	// Change is the change's ID; the same ID sent again is the same change.
	Change ident.Change `json:"change"`
	// BaseVersion is the version that the operator saw; 0 applies the edits to whatever is current.
	BaseVersion uint64 `json:"baseVersion"`
	// Edits are applied in order.
	Edits []Edit `json:"edits"`
}

// digest is over what is proposed, without the ID.
func (p *Proposal) digest() uint64 {
	q := *p
	q.Change = ""
	data, err := json.Marshal(q)
	if err != nil {
		return 0 // no field can fail to encode
	}
	return xxhash.Sum64(data)
}

// summary says what is proposed, in the operators' language, shortened when it is long.
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
