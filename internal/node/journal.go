package node

import "mangoledge.example/mangoledge/internal/ident"

// journal keeps what was decided, for `explain`.
type journal struct {
	node *Node
}

func newJournal(n *Node) *journal {
	return &journal{node: n}
}

// Request notes one decision about a request.
func (j *journal) Request(ident.RequestID, string, string) {}
