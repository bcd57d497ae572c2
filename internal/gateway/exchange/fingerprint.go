package exchange

import (
	"strings"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// fingerprintOf returns the fingerprint by which requests that crash upstreams are recognized: it
// covers workspace, host, method, path and body. The workspace is used in place of the API key, since
// keys are rotated. For a request without a body the query string is included, since it then
// selects what is run.
func fingerprintOf(r *site.Request, workspace string) poison.Fingerprint {
	operation := r.Path
	if len(r.Body) == 0 {
		operation = r.Target
	}
	input := strings.Join([]string{workspace, r.Method, operation, string(r.Body)}, "\n")
	return poison.FingerprintOf("", "", ident.Service(r.Host), input)
}

// maxLoggedParts limits the prompt parts named in a log line.
const maxLoggedParts = 8

// partIDs returns the IDs of the first parts of a prompt for a log line.
func partIDs(parts []site.PromptPart) []string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return ids
}
