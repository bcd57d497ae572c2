package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// container is an open JSON object or list and the position of the decoder in it.
type container struct {
	path string
	// keys are the keys read so far from an object; nil for a list.
	keys map[string]bool
	// key is the last key read from an object. atKey is true if the next token is a key, not a value.
	key   string
	atKey bool
	// items is the number of items read so far from a list.
	items int
}

// nextPath returns the path of the next value and marks the value as read.
func (c *container) nextPath() string {
	if c.keys == nil {
		c.items++
		return fmt.Sprintf("%s[%d]", c.path, c.items-1)
	}
	c.atKey = true
	return joinPath(c.path, c.key)
}

// duplicateKeys returns the sorted paths of the keys that occur more than once in an
// object of a JSON text; encoding/json would silently use the last of them. For invalid
// JSON, it returns those before the syntax error.
func duplicateKeys(data []byte) []string {
	jsonDecoder := json.NewDecoder(bytes.NewReader(data))
	found := make(map[string]bool)
	var stack []*container
	for {
		token, err := jsonDecoder.Token()
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
					found[joinPath(top.path, key)] = true
				}
				top.keys[key], top.key, top.atKey = true, key, false
				continue
			}
			path = top.nextPath()
		}
		switch token {
		case json.Delim('{'):
			stack = append(stack, &container{path: path, keys: make(map[string]bool), atKey: true})
		case json.Delim('['):
			stack = append(stack, &container{path: path})
		}
	}
	out := make([]string, 0, len(found))
	for path := range found {
		out = append(out, path)
	}
	sort.Strings(out)
	return out
}
