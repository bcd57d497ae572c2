package query

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// MaxCommandBytes is the maximum length of a command, in bytes.
const MaxCommandBytes = 16 << 10

// anyWord is the Error.Expected of a place where any word is valid.
const anyWord = "a word"

// verbs holds the first words of commands.
var verbs = []string{"show", "explain", "set", "drain", "clear", "dump"}

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Operator", Pattern: `<=|>=|!=|=|<|>|~`},
	{Name: "Word", Pattern: `[^\s"=<>!~]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](
	participle.Lexer(commandLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// Parse parses a command and checks it against schema. Its error is an *Error.
func Parse(text string, schema Schema) (*Command, error) {
	if len(text) > MaxCommandBytes || !utf8.ValidString(text) {
		return nil, &Error{Column: 1, Found: "a long or garbled text", Expected: "up to 16384 bytes of UTF-8"}
	}
	if err := checkVerb(text); err != nil {
		return nil, err
	}
	command, err := parser.ParseString("", text)
	if err != nil {
		return nil, schema.syntaxError(text, err)
	}
	if err := schema.check(command); err != nil {
		return nil, err
	}
	return command, nil
}

// checkVerb checks that text begins with a verb.
func checkVerb(text string) error {
	rest := strings.TrimLeft(text, " \t\r\n")
	column := utf8.RuneCountInString(text[:len(text)-len(rest)]) + 1
	first, _, _ := strings.Cut(strings.Join(strings.Fields(rest), " "), " ")
	for _, verb := range verbs {
		if first == verb {
			return nil
		}
	}
	return &Error{Column: column, Found: first, Expected: oneOf(verbs)}
}

// syntaxError converts an error of the parser.
func (s Schema) syntaxError(text string, err error) *Error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		out := &Error{Column: unexpected.Unexpected.Pos.Column, Expected: expectedWords(unexpected.Message())}
		if out.Expected == anyWord {
			out.Expected = s.wordsAfter(text[:min(unexpected.Unexpected.Pos.Offset, len(text))])
		}
		if !unexpected.Unexpected.EOF() {
			out.Found = unexpected.Unexpected.Value
		}
		return out
	}
	var located participle.Error
	if errors.As(err, &located) {
		column := located.Position().Column
		return &Error{Column: column, Found: excerpt(text, located.Position().Offset), Expected: `a word, a "quoted string" or one of = != < <= > >= ~`}
	}
	return &Error{Column: 1, Found: text, Expected: oneOf(verbs)}
}

// wordsAfter lists the words that may follow text, for Error.Expected.
func (s Schema) wordsAfter(text string) string {
	words := s.candidates(strings.Fields(text))
	if len(words) == 0 {
		return anyWord
	}
	return oneOf(words)
}

// excerpt returns up to maxRunes characters of text from offset, which is in bytes.
func excerpt(text string, offset int) string {
	const maxRunes = 12
	if offset < 0 || offset >= len(text) {
		return ""
	}
	runes := []rune(text[offset:])
	return string(runes[:min(maxRunes, len(runes))])
}

// expectedWords returns what was expected according to the parser's message, in words of
// the language instead of the names of grammar types.
func expectedWords(message string) string {
	_, inner, found := strings.Cut(message, "(expected ")
	if !found {
		return "the end of the command"
	}
	inner = strings.TrimSuffix(inner, ")")
	for _, known := range []struct{ grammar, words string }{
		{`<operator>`, "one of = != < <= > >= ~"},
		{"Op", "one of = != < <= > >= ~"},
		{"Condition", "a condition such as state = ready"},
		{"Field", "key=value"},
		{"Word", anyWord},
		{`"by"`, "by and a column"},
		{"Sort", anyWord},
	} {
		if strings.HasPrefix(inner, known.grammar) {
			return known.words
		}
	}
	return strings.ReplaceAll(inner, `"`, "'")
}
