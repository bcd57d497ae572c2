package owner

import "mangoledge.example/mangoledge/internal/ident"

// OwnedUpstream is an upstream that the ledger's node owns.
type OwnedUpstream struct {
	ID ident.Upstream
	// URL is the upstream's base URL.
	URL string
}

// Owned returns the upstreams that this node owns, in no particular order.
func (l *Ledger) Owned() []OwnedUpstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]OwnedUpstream, 0, len(l.urls))
	for id, url := range l.urls {
		out = append(out, OwnedUpstream{ID: id, URL: url})
	}
	return out
}
