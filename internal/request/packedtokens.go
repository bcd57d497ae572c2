package request

import (
	"encoding/binary"
	"strings"
)

// PackedTokens stores the tokens of an answer in two allocations, for answers that
// are stored but seldom read. The zero value has no tokens.
type PackedTokens struct {
	// text is the concatenation of all tokens.
	text string
	// lengths are the lengths of the tokens in bytes, each as a uvarint.
	lengths string
	count   int
}

// PackTokens packs tokens. The result does not share memory with them.
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

// Size returns the memory of the tokens, in bytes.
func (p PackedTokens) Size() int {
	return len(p.text) + len(p.lengths)
}

// Len returns the number of tokens.
func (p PackedTokens) Len() int {
	return p.count
}

// Tokens unpacks the tokens; the strings share memory with p.
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
