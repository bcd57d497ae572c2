package relay

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// HeldVersion is the name of an object and the version held of it.
type HeldVersion struct {
	Kind    objects.Kind    `json:"kind"`
	Name    string          `json:"name"`
	Version objects.Version `json:"version"`
}

// objectName identifies an object.
type objectName struct {
	kind objects.Kind
	name string
}

// table holds the highest known version of each object. It is safe for concurrent use.
type table struct {
	mu      sync.RWMutex
	objects map[objectName]objects.Object
}

func newTable() *table {
	return &table{objects: make(map[objectName]objects.Object)}
}

// put stores object if its version is higher than the one held, and reports whether it is.
func (t *table) put(object objects.Object) bool {
	key := objectName{object.Kind, object.Metadata.Name}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.objects[key].Metadata.ResourceVersion >= object.Metadata.ResourceVersion {
		return false
	}
	t.objects[key] = object
	return true
}

// versions returns the names and versions of all objects, in no particular order.
func (t *table) versions() []HeldVersion {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]HeldVersion, 0, len(t.objects))
	for key, object := range t.objects {
		out = append(out, HeldVersion{Kind: key.kind, Name: key.name, Version: object.Metadata.ResourceVersion})
	}
	return out
}

// newerThan returns the objects that are missing in have or have a higher version here.
func (t *table) newerThan(have []HeldVersion) []objects.Object {
	known := make(map[objectName]objects.Version, len(have))
	for _, h := range have {
		known[objectName{h.Kind, h.Name}] = h.Version
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []objects.Object
	for key, object := range t.objects {
		if object.Metadata.ResourceVersion > known[key] {
			out = append(out, object)
		}
	}
	return out
}

// digest returns a hash of the names and versions of all objects. It does not depend on
// their order.
func (t *table) digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var sum uint64 // a sum does not depend on the order of the map
	for key, object := range t.objects {
		var version [8]byte
		binary.BigEndian.PutUint64(version[:], uint64(object.Metadata.ResourceVersion))
		hash := xxhash.New()
		_, _ = hash.WriteString(string(key.kind) + "/" + key.name + "/") // a hash never fails
		_, _ = hash.Write(version[:])
		sum += hash.Sum64()
	}
	return sum
}

// empty reports whether the table holds no object.
func (t *table) empty() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.objects) == 0
}
