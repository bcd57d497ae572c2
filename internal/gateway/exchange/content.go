package exchange

import (
	"strings"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// contentOf names what a request has an upstream run: caller, path and body. The caller is
// the workspace, as a key may be replaced; the query counts where there is no body, as it
// is what is asked for then.
func contentOf(r *site.Request, workspace string) poison.Fingerprint {
	operation := r.Path
	if len(r.Body) == 0 {
		operation = r.Target
	}
	input := strings.Join([]string{workspace, r.Method, operation, string(r.Body)}, "\n")
	return poison.FingerprintOf("", "", ident.Service(r.Host), input)
}
