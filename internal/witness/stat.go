package witness

import (
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
)

// Stat is the size of one table, for metrics and dumps.
type Stat struct {
	Witness ident.Incarnation `json:"witness"`
	// Entries is the number of requests with a record.
	Entries int `json:"entries"`
	// Spent is the number of expired requests remembered as granted.
	Spent int `json:"spent"`
	// Full is true when some shard takes no further non-idempotent requests.
	Full bool `json:"full"`
	// Successor is set when the table was handed over, or is being so.
	Successor ident.Incarnation `json:"successor,omitempty"`
	// Moved is true when the successor has acknowledged the whole table.
	Moved bool `json:"moved"`
}

func (h *holding) stat() Stat {
	out := Stat{Witness: h.witness, Moved: h.hasMoved()}
	if successor, _ := h.place(); successor != nil {
		out.Successor = successor.Incarnation
	}
	for i := range h.shards {
		h.shards[i].do(func(t *grant.Table) {
			out.Entries += t.Len()
			out.Spent += t.Spent()
			out.Full = out.Full || t.Full()
		})
	}
	return out
}
