package server

import (
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// lostAnswer is a request that was sent to an upstream and got no whole answer.
type lostAnswer struct {
	at       time.Time
	content  poison.Fingerprint
	upstream string
	born     time.Time
}

// incarnation names the start of the upstream: one that started again under its ID is
// another one that can crash.
func (l *lostAnswer) incarnation() ident.Upstream {
	return ident.Upstream(l.upstream + "@" + strconv.FormatInt(l.born.UnixMilli(), 36))
}
