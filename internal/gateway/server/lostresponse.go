package server

import (
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// lostResponse is a request that was sent to an upstream and got no complete response.
type lostResponse struct {
	at      time.Time
	content poison.Content
	// upstream is the ID of the upstream, and startedAt when its process started.
	upstream  string
	startedAt time.Time
}

// incarnation identifies one start of the upstream: after a restart under the same ID, the
// upstream can crash again and is counted separately.
func (l *lostResponse) incarnation() ident.Upstream {
	return ident.Upstream(l.upstream + "@" + strconv.FormatInt(l.startedAt.UnixMilli(), 36))
}

// isOfEarlierStart reports whether the upstream is known to have started again since.
func (l *lostResponse) isOfEarlierStart(u site.Upstream) bool {
	return !l.startedAt.IsZero() && !u.StartedAt.IsZero() && !u.StartedAt.Equal(l.startedAt)
}
