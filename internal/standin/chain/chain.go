// Package chain creates and verifies the tokens of the stand-in engine. Each token
// consists of its index, a hash of the previous token (or of the prompt) and a random
// part. Tokens of unrelated generations therefore do not verify when they are joined,
// nor does an answer to another prompt.
package chain

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Token returns the token with the given index, which follows previous. For the first
// token, previous is the prompt.
func Token(index int, previous string, random uint32) string {
	return fmt.Sprintf("%d-%016x-%08x ", index, xxhash.Sum64String(previous), random)
}

// Verify returns an error unless tokens are one generation for prompt, from its first token on.
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

// Split returns the tokens of the complete output of a generation.
func Split(output string) []string {
	tokens := strings.SplitAfter(output, " ")
	return tokens[:len(tokens)-1]
}
