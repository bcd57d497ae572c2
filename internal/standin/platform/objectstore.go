package platform

import (
	"sync"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// maxRecords is how many records the store keeps; beyond it, it drops the older half.
const maxRecords = 20000

// objectKey identifies one object.
type objectKey struct {
	kind objects.Kind
	name string
}

// record is one change of one object.
type record struct {
	version objects.Version
	event   objects.Event
}

// objectStore stores objects with all their changes since the last compaction. It is
// safe for concurrent use.
type objectStore struct {
	mu      sync.Mutex
	version objects.Version
	// compacted is the last version whose record was dropped.
	compacted objects.Version
	current   map[objectKey]objects.Object
	records   []record
	changed   chan struct{}
}

// newObjectStore returns an empty store.
func newObjectStore() *objectStore {
	return &objectStore{current: make(map[objectKey]objects.Object), changed: make(chan struct{})}
}

// commit stores a change with a new version and returns the object as stored; s.mu must be held.
func (s *objectStore) commit(key objectKey, eventType objects.EventType, object objects.Object) objects.Object {
	s.version++
	object.Kind = key.kind
	object.Metadata = objects.Metadata{Name: key.name, ResourceVersion: s.version}
	if eventType == objects.EventDeleted {
		delete(s.current, key)
	} else {
		s.current[key] = object
	}
	s.records = append(s.records, record{version: s.version, event: objects.Event{Type: eventType, Object: object}})
	if len(s.records) > maxRecords {
		s.dropOldest(len(s.records) - maxRecords/2)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return object
}

// dropOldest drops the n oldest records; s.mu must be held.
func (s *objectStore) dropOldest(n int) {
	if n == 0 {
		return
	}
	s.compacted = s.records[n-1].version
	s.records = append([]record(nil), s.records[n:]...)
}

// compact drops all records.
func (s *objectStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldest(len(s.records))
}

// create stores a new object; if there is one with its key, it returns that one and reports false.
func (s *objectStore) create(key objectKey, object objects.Object) (stored objects.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, exists := s.current[key]; exists {
		return existing, false
	}
	return s.commit(key, objects.EventAdded, object), true
}

// writeResult is the result of a conditional write.
type writeResult uint8

const (
	writeDone writeResult = iota
	writeMissing
	writeConflict
)

// update replaces an object if object has the version of the stored one. It returns the
// object that is stored then.
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

// remove deletes an object if version is the stored one or 0. It returns the deleted
// object, or the stored one after a conflict.
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

// asOf returns the objects of a kind as they were versionsBehind versions ago, and that
// version. It goes back no further than the last compaction.
func (s *objectStore) asOf(kind objects.Kind, versionsBehind uint64) objects.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version - min(s.version-s.compacted, objects.Version(versionsBehind))
	out := objects.List{Metadata: objects.ListMetadata{ResourceVersion: version}, Items: []objects.Object{}}
	for key, object := range s.current {
		if key.kind == kind && object.Metadata.ResourceVersion <= version {
			out.Items = append(out.Items, object)
		}
	}
	if version < s.version {
		out.Items = append(out.Items, s.changedSince(kind, version)...)
	}
	return out
}

// changedSince returns the objects of a kind that were changed or deleted after version,
// as they were at version; s.mu must be held.
func (s *objectStore) changedSince(kind objects.Kind, version objects.Version) []objects.Object {
	last := make(map[string]record)
	changedLater := make(map[string]bool)
	for _, r := range s.records {
		if r.event.Object.Kind != kind {
			continue
		}
		name := r.event.Object.Metadata.Name
		if r.version <= version {
			last[name] = r
		} else {
			changedLater[name] = true
		}
	}
	var out []objects.Object
	for name, r := range last {
		if changedLater[name] && r.event.Type != objects.EventDeleted {
			out = append(out, r.event.Object)
		}
	}
	return out
}

// eventsSince returns the events of a kind after version, the store's version, and a
// channel that is closed at the next change; ok is false if events after version were dropped.
func (s *objectStore) eventsSince(kind objects.Kind, version objects.Version) (events []objects.Event, latest objects.Version, changed <-chan struct{}, ok bool) {
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
