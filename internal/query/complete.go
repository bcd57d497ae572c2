package query

import (
	"slices"
	"strings"
)

// Complete returns the words that can complete line. Unless line ends with a space,
// its last word is the prefix of the words returned.
func (s Schema) Complete(line string) []string {
	words := strings.Fields(line)
	prefix := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		prefix = words[len(words)-1]
		words = words[:len(words)-1]
	}
	var out []string
	for _, candidate := range s.candidates(words) {
		if strings.HasPrefix(candidate, prefix) {
			out = append(out, candidate)
		}
	}
	return out
}

// candidates returns the words that may follow words.
func (s Schema) candidates(words []string) []string {
	if len(words) == 0 {
		return verbs
	}
	switch words[0] {
	case "show":
		return s.candidatesAfterShow(words[1:])
	case "set":
		return s.candidatesAfterSet(words[1:])
	case "explain":
		return kindsAfterVerb(words, ExplainKinds)
	case "drain":
		return kindsAfterVerb(words, DrainKinds)
	case "clear":
		return kindsAfterVerb(words, s.ClearKinds())
	}
	return nil
}

// kindsAfterVerb returns kinds if words holds only the verb.
func kindsAfterVerb(words, kinds []string) []string {
	if len(words) == 1 {
		return kinds
	}
	return nil
}

// candidatesAfterSet returns the words that may follow set and words: objects, or the keys
// not given yet. The object's name is not completed.
func (s Schema) candidatesAfterSet(words []string) []string {
	if len(words) == 0 {
		return s.objectNames()
	}
	object, ok := s.Object(words[0])
	if !ok || len(words) < 2 {
		return nil
	}
	var out []string
	for _, key := range object.Keys {
		if !slices.ContainsFunc(words[2:], func(w string) bool { return strings.HasPrefix(w, key.Name+"=") }) {
			out = append(out, key.Name+"=")
		}
	}
	return out
}

// candidatesAfterShow returns the words that may follow show and words.
func (s Schema) candidatesAfterShow(words []string) []string {
	if len(words) == 0 {
		return s.tableNames()
	}
	table, ok := s.Table(words[0])
	if !ok {
		return nil
	}
	last := words[len(words)-1]
	columns := columnNames(table.Columns)
	switch {
	case len(words) == 1:
		return []string{"where", "sort", "limit"}
	case last == "sort":
		return []string{"by"}
	case last == "where", last == "and", last == "by":
		return columns
	case last == "limit":
		return nil
	case len(words) > 2 && words[len(words)-2] == "by":
		return []string{"desc", "asc", "limit"}
	case slices.Contains(columns, last):
		return []string{"=", "!=", "<", "<=", ">", ">=", "~"}
	case slices.Contains([]string{"=", "!=", "<", "<=", ">", ">=", "~"}, last):
		return nil
	case slices.Contains(words, "sort"):
		return []string{"limit"}
	}
	return []string{"and", "sort", "limit"}
}
