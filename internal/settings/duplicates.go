package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// place is where a walk through a JSON text is: in an object or a list.
type place struct {
	path string
	// keys are those seen of an object; nil for a list.
	keys map[string]bool
	// key is the one whose value comes next, and atKey true before a key.
	key   string
	atKey bool
	// items counts those seen of a list.
	items int
}

// next returns the path of the value that comes next, and steps over it.
func (p *place) next() string {
	if p.keys == nil {
		p.items++
		return fmt.Sprintf("%s[%d]", p.path, p.items-1)
	}
	p.atKey = true
	return join(p.path, p.key)
}

// duplicates returns the paths of the keys that an object of a JSON text has more
// than once, sorted. The decoder would silently take the last of them. A text that
// is no JSON gives those up to its fault.
func duplicates(data []byte) []string {
	reader := json.NewDecoder(bytes.NewReader(data))
	found := make(map[string]bool)
	var stack []*place
	for {
		token, err := reader.Token()
		if err != nil {
			break
		}
		if token == json.Delim('}') || token == json.Delim(']') {
			stack = stack[:len(stack)-1]
			continue
		}
		path := ""
		if len(stack) > 0 {
			top := stack[len(stack)-1]
			if key, isKey := token.(string); top.atKey && isKey {
				if top.keys[key] {
					found[join(top.path, key)] = true
				}
				top.keys[key], top.key, top.atKey = true, key, false
				continue
			}
			path = top.next()
		}
		switch token {
		case json.Delim('{'):
			stack = append(stack, &place{path: path, keys: make(map[string]bool), atKey: true})
		case json.Delim('['):
			stack = append(stack, &place{path: path})
		}
	}
	out := make([]string, 0, len(found))
	for path := range found {
		out = append(out, path)
	}
	sort.Strings(out)
	return out
}
