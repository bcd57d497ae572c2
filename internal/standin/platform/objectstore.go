package platform

import (
	"sync"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// maxRecords is how many records the store keeps before it compacts by itself.
const maxRecords = 20000

// objectKey names one object.
type objectKey struct {
	kind objects.Kind
	name string
}

// record is one change of one object.
type record struct {
	version objects.Version
	event   objects.Event
}

// objectStore keeps objects with their whole history since the last compaction.
type objectStore struct {
	mu      sync.Mutex
	version objects.Version
	// compacted is the last version that was forgotten.
	compacted objects.Version
	current   map[objectKey]objects.Object
	records   []record
	changed   chan struct{}
}

func newObjectStore() *objectStore {
	return &objectStore{current: make(map[objectKey]objects.Object), changed: make(chan struct{})}
}

// commit stores a change under a new version; s.mu must be held.
func (s *objectStore) commit(key objectKey, kind objects.EventType, object objects.Object) objects.Object {
	s.version++
	object.Kind = key.kind
	object.Metadata = objects.Metadata{Name: key.name, ResourceVersion: s.version}
	if kind == objects.EventDeleted {
		delete(s.current, key)
	} else {
		s.current[key] = object
	}
	s.records = append(s.records, record{version: s.version, event: objects.Event{Type: kind, Object: object}})
	if len(s.records) > maxRecords {
		s.forget(len(s.records) - maxRecords/2)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object
}

// forget drops the n oldest records; s.mu must be held.
func (s *objectStore) forget(n int) {
	if n == 0 {
		return
	}
	s.compacted = s.records[n-1].version
	s.records = append([]record(nil), s.records[n:]...)
}

func (s *objectStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(len(s.records))
}

func (s *objectStore) create(key objectKey, object objects.Object) (stored objects.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, exists := s.current[key]; exists {
		return existing, false
	}
	return s.commit(key, objects.EventAdded, object), true
}

// writeResult is what became of a conditional write.
type writeResult uint8

const (
	writeDone writeResult = iota
	writeMissing
	writeConflict
)

func (s *objectStore) update(key objectKey, object objects.Object) (objects.Object, writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, exists := s.current[key]
	if !exists {
		return existing, writeMissing
	}
	if existing.Metadata.ResourceVersion != object.Metadata.ResourceVersion {
		return existing, writeConflict
	}
	return s.commit(key, objects.EventModified, object), writeDone
}

func (s *objectStore) remove(key objectKey, version objects.Version) (objects.Object, writeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, exists := s.current[key]
	if !exists {
		return existing, writeMissing
	}
	if version != 0 && existing.Metadata.ResourceVersion != version {
		return existing, writeConflict
	}
	return s.commit(key, objects.EventDeleted, existing), writeDone
}

// asOf returns the objects of a kind, behind versions ago, and that version.
func (s *objectStore) asOf(kind objects.Kind, behind uint64) objects.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version - min(s.version-s.compacted, objects.Version(behind))
	out := objects.List{Metadata: objects.ListMetadata{ResourceVersion: version}, Items: []objects.Object{}}
	for key, object := range s.current {
		if key.kind == kind && object.Metadata.ResourceVersion <= version {
			out.Items = append(out.Items, object)
		}
	}
	if version < s.version {
		out.Items = append(out.Items, s.replaced(kind, version)...)
	}
	return out
}

// replaced returns the objects that existed at version and were changed since; s.mu must be held.
func (s *objectStore) replaced(kind objects.Kind, version objects.Version) []objects.Object {
	last := make(map[string]record)
	touched := make(map[string]bool)
	for _, r := range s.records {
		if r.event.Object.Kind != kind {
			continue
		}
		name := r.event.Object.Metadata.Name
		if r.version <= version {
			last[name] = r
		} else {
			touched[name] = true
		}
	}
	var out []objects.Object
	for name, r := range last {
		if touched[name] && r.event.Type != objects.EventDeleted {
			out = append(out, r.event.Object)
		}
	}
	return out
}

// since returns the events of a kind after version, the store's version, and a
// channel that is closed at the next change; ok is false when version was compacted.
func (s *objectStore) since(kind objects.Kind, version objects.Version) (events []objects.Event, now objects.Version, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.compacted {
		return nil, s.version, s.changed, false
	}
	for i := len(s.records) - 1; i >= 0 && s.records[i].version > version; i-- {
		if s.records[i].event.Object.Kind == kind {
			events = append(events, s.records[i].event)
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events, s.version, s.changed, true
}
