package historycheck

import (
	"strings"

	"mangoledge.example/mangoledge/internal/standin/chain"
)

// CheckAnswerContent checks that callers received tokens of one generation for their own
// prompt, without gaps, and that complete answers have all their tokens. The tokens
// of incomplete answers are checked too.
func CheckAnswerContent(h *History) []Violation {
	r := report{property: PropertyAnswerContent}
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Service {
			checkReply(&r, c)
		} else {
			checkTokens(&r, c)
		}
	}
	return r.violations
}

// checkReply checks that a complete reply of a plain service belongs to the call's payload.
func checkReply(r *report, c *Call) {
	if c.Complete && !strings.HasSuffix(c.Output, " did "+c.Input) {
		r.add(c.Name, "the reply %q is not to its payload %q", c.Output, c.Input)
	}
}

// checkTokens checks the tokens of a request to a model.
func checkTokens(r *report, c *Call) {
	tokens := c.Tokens
	if len(tokens) == 0 && c.Complete {
		tokens = chain.Split(c.Output)
	}
	if err := chain.Verify(c.Input, tokens); err != nil {
		r.add(c.Name, "%v", err)
	}
	if c.Complete && len(tokens) != c.MaxTokens {
		r.add(c.Name, "a whole answer of %d tokens has %d", c.MaxTokens, len(tokens))
	}
}
