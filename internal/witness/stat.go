package witness

import (
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
)

// Stat holds the statistics of one table, for metrics and dumps.
type Stat struct {
	Witness ident.Incarnation `json:"witness"`
	// Entries is the number of requests with a record.
	Entries int `json:"entries"`
	// Spent is the number of spent requests whose fingerprint is stored.
	Spent int `json:"spent"`
	// Full is true when some shard accepts no further non-idempotent requests.
	Full bool `json:"full"`
	// Successor is set when the table has been or is being handed over.
	Successor ident.Incarnation `json:"successor,omitempty"`
	// Moved is true when the successor has acknowledged the whole table.
	Moved bool `json:"moved"`
}

// stat sums up the statistics of all shards.
func (h *heldTable) stat() Stat {
	out := Stat{Witness: h.witness, Moved: h.hasMoved()}
	if successor, _ := h.successorAndMoved(); successor != nil {
		out.Successor = successor.Incarnation
	}
	for i := range h.shards {
		h.shards[i].withLock(func(t *grant.Table) {
			out.Entries += t.Len()
			out.Spent += t.Spent()
			out.Full = out.Full || t.Full()
		})
	}
	return out
}
