package historycheck

import (
	"strings"

	"mangoledge.example/mangoledge/internal/standin/chain"
)

// CheckWhole checks that callers received tokens of one generation for their own
// prompt, without gaps, and that complete answers have all their tokens. The tokens
// of incomplete answers are checked too.
func CheckWhole(h *History) []Violation {
	r := report{property: PropertyWhole}
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

func checkReply(r *report, c *Call) {
	if c.Whole && !strings.HasSuffix(c.Output, " did "+c.Input) {
		r.add(c.Name, "the reply %q is not to its payload %q", c.Output, c.Input)
	}
}

func checkTokens(r *report, c *Call) {
	tokens := c.Tokens
	if len(tokens) == 0 && c.Whole {
		tokens = chain.Split(c.Output)
	}
	if err := chain.Verify(c.Input, tokens); err != nil {
		r.add(c.Name, "%v", err)
	}
	if c.Whole && len(tokens) != c.MaxTokens {
		r.add(c.Name, "a whole answer of %d tokens has %d", c.MaxTokens, len(tokens))
	}
}
