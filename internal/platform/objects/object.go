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

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 44

// Version is a resource version. The store assigns it from one increasing counter for all
// kinds. A store that came back from an older copy counts on from there in a new era; versions of a
// later era are greater than all of an earlier one.
type Version uint64

// VersionOf returns the version of a revision of the store in an era.
func VersionOf(era, revision uint64) Version {
	return Version(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era of the store; 0 for a store that has none.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the store's own number of the version, which may repeat in a later era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

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
	// Created tells an object from an earlier one of the same name; 0 where it is not needed.
	Created uint64 `json:"createdAs,omitempty"`
}

// Object is one object of the store.
type Object struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	// Status is what the system wrote beside the spec of another writer; empty for kinds without one.
	Status json.RawMessage `json:"status,omitempty"`
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
