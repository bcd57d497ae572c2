// Package chain makes the tokens of the stand-in engine: each names its place,
// a hash of all that came before it and a random part. Tokens of two unrelated
// generations do not verify when they are joined, and neither does an answer
// to another prompt.
package chain

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Token returns the token behind previous, which is the prompt for the first token.
func Token(index int, previous string, random uint32) string {
	return fmt.Sprintf("%d-%016x-%08x ", index, xxhash.Sum64String(previous), random)
}

// Verify checks that tokens are one generation for prompt, from its first token on.
func Verify(prompt string, tokens []string) error {
	previous := prompt
	for i, token := range tokens {
		want := fmt.Sprintf("%d-%016x-", i, xxhash.Sum64String(previous))
		if !strings.HasPrefix(token, want) {
			return errors.Newf("token %d is %q and does not follow %q", i, token, previous)
		}
		previous = token
	}
	return nil
}

// Split cuts the whole output of a generation into its tokens.
func Split(output string) []string {
	tokens := strings.SplitAfter(output, " ")
	return tokens[:len(tokens)-1]
}
