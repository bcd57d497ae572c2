package exchange

import (
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
	head := workspace + "\n" + r.Method + "\n" + operation + "\n"
	return poison.ContentFingerprint(ident.Service(r.Host), head, r.Body)
}

// maxPromptParts limits the prompt parts by which a request is recognized; the last are the most
// specific.
const maxPromptParts = 64

// contentOf returns what identifies a request's content.
func contentOf(r *site.Request, workspace string) poison.Content {
	shared := recognizedParts(r)
	parts := make([]poison.Fingerprint, 0, len(shared))
	for _, p := range shared {
		parts = append(parts, poison.PartFingerprint(p.ID))
	}
	return poison.Content{Whole: fingerprintOf(r, workspace), Parts: parts}
}

// recognizedParts returns the prompt parts by which a request is recognized.
func recognizedParts(r *site.Request) []site.PromptPart {
	shared := r.SharedParts()
	return shared[max(0, len(shared)-maxPromptParts):]
}

// isQuarantined reports whether the request must not be sent, because its content or a part of its
// prompt crashes upstreams.
func (e *exchange) isQuarantined() bool {
	_, found := e.options.Poison.CrashingPart(e.content)
	return found || e.options.Poison.Quarantined(e.content)
}

// crashingPart returns the ID of the prompt part that crashes upstreams, or "".
func (e *exchange) crashingPart() string {
	i, found := e.options.Poison.CrashingPart(e.content)
	if !found {
		return ""
	}
	return recognizedParts(e.request)[i].ID
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
