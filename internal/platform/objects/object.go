package objects

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxObjectBytes is the maximum size of an encoded object in the store.
const MaxObjectBytes = 1 << 20

// Kind is the name of an object kind as used in paths, such as "sites".
type Kind string

// Version is a resource version. The store assigns it from one increasing counter for all
// kinds.
type Version uint64

// MarshalJSON writes the version as the store does, as a string.
func (v Version) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatUint(uint64(v), 10))), nil
}

// UnmarshalJSON reads a version from a string; an empty string is 0.
func (v *Version) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, "resourceVersion")
	}
	if text == "" {
		*v = 0
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errors.Wrap(err, "resourceVersion")
	}
	*v = Version(n)
	return nil
}

// Metadata is the metadata of an object.
type Metadata struct {
	Name            string  `json:"name"`
	ResourceVersion Version `json:"resourceVersion,omitempty"`
}

// Object is one object of the store.
type Object struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// List is all objects of a kind as of one version of the store.
type List struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata holds the store version that a list represents.
type ListMetadata struct {
	ResourceVersion Version `json:"resourceVersion"`
}
