package settings

import (
	"reflect"
	"sort"
	"strings"
)

// maxSuggestDistance is the maximum edit distance between an unknown key and a suggested one.
const maxSuggestDistance = 3

// unknownKeyMessage returns the fault text for an unknown key. It suggests the most similar known
// key, or lists all known keys if none is similar.
func unknownKeyMessage(key string, fields map[string]reflect.StructField) string {
	known := make([]string, 0, len(fields))
	for name := range fields {
		known = append(known, name)
	}
	sort.Strings(known)
	best, bestDistance := "", maxSuggestDistance+1
	for _, name := range known {
		if d := editDistance(strings.ToLower(key), strings.ToLower(name)); d < bestDistance {
			best, bestDistance = name, d
		}
	}
	if best != "" && bestDistance < len(best) {
		return "no such setting; did you mean " + best + "?"
	}
	return "no such setting; here are allowed: " + strings.Join(known, ", ")
}

// editDistance returns the minimum number of single-byte edits that turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = min(diagonal, row[j], row[j+1]) + 1
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
