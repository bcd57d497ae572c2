package request

import (
	"encoding/binary"
	"strings"
)

// PackedTokens is an answer's tokens in two pieces of memory, for answers that
// are kept and seldom read. The zero value has no tokens.
type PackedTokens struct {
	// text is all tokens behind each other.
	text string
	// lengths are their lengths in bytes, each as a uvarint.
	lengths string
	count   int
}

// PackTokens packs tokens; it keeps nothing of their memory.
func PackTokens(tokens []string) PackedTokens {
	if len(tokens) == 0 {
		return PackedTokens{}
	}
	lengths := make([]byte, 0, len(tokens))
	for _, token := range tokens {
		lengths = binary.AppendUvarint(lengths, uint64(len(token)))
	}
	return PackedTokens{text: strings.Join(tokens, ""), lengths: string(lengths), count: len(tokens)}
}

// Len returns how many tokens there are.
func (p PackedTokens) Len() int {
	return p.count
}

// Tokens returns the tokens one by one; their text is shared with p.
func (p PackedTokens) Tokens() []string {
	if p.count == 0 {
		return nil
	}
	out := make([]string, 0, p.count)
	text, lengths := p.text, []byte(p.lengths)
	for range p.count {
		length, read := binary.Uvarint(lengths)
		lengths = lengths[read:]
		out = append(out, text[:length])
		text = text[length:]
	}
	return out
}
