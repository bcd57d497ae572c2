package exchange

import (
	"strings"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// contentOf names a request by what the client sent, whatever its attempt ID.
func contentOf(r *site.Request) poison.Fingerprint {
	input := strings.Join([]string{r.Key, r.Method, r.Target, string(r.Body)}, "\n")
	return poison.Of(ident.Model(r.Model), "", ident.Service(r.Host), input)
}
