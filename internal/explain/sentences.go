package explain

// sentences holds the Decision.Sentence of each decision about a request, by name. Their
// only input is the reason.
var sentences = map[string]string{
	"accept":          "This node accepted the request and became its holder: {reason}.",
	"granted":         "The right to run this non-idempotent request was given to this node, once and for ever, {reason}.",
	"dispatch":        "The request was sent {reason}.",
	"upstream failed": "The request left its upstream, {reason}.",
	"attach":          "The stream was attached {reason}.",
	"attach failed":   "The running stream could not be attached again: {reason}.",
	"recovery":        "The upstream leaves, and it was decided how the stream goes on: {reason}.",
	"prefill":         "The prompt and the answer so far were computed again: {reason}.",
	"export":          "The upstream leaves, so its work was taken out: {reason}.",
	"export failed":   "The work could not be taken out of the leaving upstream: {reason}.",
	"import":          "The next upstream took in a copy {reason}, so the prompt need not be computed again.",
	"import failed":   "The next upstream could not take in the cache; the prompt is computed again: {reason}.",
	"superseded":      "This node stopped its part: {reason}.",
	"release":         "This node gave the request up by plan: {reason}.",
	"take over":       "This node took the request over: {reason}.",
	"restart":         "The request began anew: {reason}.",
	"shed":            "The request was refused after it had waited: {reason}.",
	"done":            "The request ended: {reason}.",
	"failed":          "The request failed: {reason}.",
	"cancelled":       "The request was cancelled: {reason}.",
}

// sentenceOf returns the sentence of a decision; for an unknown one, only the reason.
func sentenceOf(decision string) string {
	if sentence, ok := sentences[decision]; ok {
		return sentence
	}
	return "{reason}"
}
