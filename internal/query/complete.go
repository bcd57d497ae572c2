package query

import (
	"slices"
	"strings"
)

// Complete returns the words that may stand at the end of line, where a word
// may have been begun.
func (s Schema) Complete(line string) []string {
	words := strings.Fields(line)
	begun := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		begun = words[len(words)-1]
		words = words[:len(words)-1]
	}
	var out []string
	for _, candidate := range s.candidates(words) {
		if strings.HasPrefix(candidate, begun) {
			out = append(out, candidate)
		}
	}
	return out
}

// candidates returns what may follow words.
func (s Schema) candidates(words []string) []string {
	if len(words) == 0 {
		return verbs
	}
	switch words[0] {
	case "show":
		return s.afterShow(words[1:])
	case "set":
		return s.afterSet(words[1:])
	case "explain":
		return onlyFirst(words, ExplainKinds)
	case "drain":
		return onlyFirst(words, DrainKinds)
	case "clear":
		return onlyFirst(words, s.ClearKinds())
	}
	return nil
}

func onlyFirst(words, kinds []string) []string {
	if len(words) == 1 {
		return kinds
	}
	return nil
}

func (s Schema) afterSet(words []string) []string {
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

func (s Schema) afterShow(words []string) []string {
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
