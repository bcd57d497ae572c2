//go:build review

package kit3

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store keeps beside an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object    Object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
	revision  uint64
}

// ownersWrite is a write of the operator or of a replica.
type ownersWrite struct {
	kind, name string
	spec       json.RawMessage
	at         uint64
}

// Store is a stand-in of the platform's store: linearizable, loses nothing unless ComeBackFrom is called.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	era      uint64
	away     bool
	objects  map[string]map[string]Object
	history  []event
	written  []ownersWrite
	changed  chan struct{}
	// OnWrite, if not nil, is called with each write of the system that took effect.
	OnWrite func(kind, name string, spec []byte, era uint64)
}

// StoreCopy is a copy of the store's objects.
type StoreCopy struct {
	revision uint64
	objects  map[string]map[string]Object
	history  int
	written  int
}

// NewStore starts a store on loopback whose first Store-Era is era.
func NewStore(address string, era uint64) (*Store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, revision: 1, era: era, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns where the store listens.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Era returns the current era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Get returns the spec of an object, or nil.
func (s *Store) Get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putOwned(ownersWrite{kind: kind, name: name, spec: data})
}

// Remove removes an object as the operator or a replica does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putOwned(ownersWrite{kind: kind, name: name})
}

func (s *Store) putOwned(w ownersWrite) {
	if w.spec == nil {
		s.remove(w.kind, w.name)
	} else {
		s.write(w.kind, w.name, w.spec, s.objects[w.kind][w.name].Status, nil)
	}
	w.at = s.revision
	s.written = append(s.written, w)
}

// Copy returns a copy of the store as it is.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{revision: s.revision, objects: make(map[string]map[string]Object), history: len(s.history), written: len(s.written)}
	for kind, all := range s.objects {
		c.objects[kind] = maps.Clone(all)
	}
	return c
}

// GoAway makes the store silent: calls that arrive, and watches that wait, get no answer.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// ComeBackFrom lets the store return from a copy, in the next era. What the operator and the replicas wrote since
// is written again at once.
func (s *Store) ComeBackFrom(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.written[c.written:]
	s.objects = make(map[string]map[string]Object)
	for kind, all := range c.objects {
		s.objects[kind] = maps.Clone(all)
	}
	s.revision, s.history, s.written = c.revision, s.history[:c.history:c.history], s.written[:c.written:c.written]
	s.era++
	s.away = false
	for _, w := range lost {
		s.putOwned(w)
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(kind, name string, spec, status json.RawMessage, finalizers []string) Object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	created := s.revision
	if known, ok := s.objects[kind][name]; ok {
		created = known.Metadata.Created
	}
	if finalizers == nil {
		finalizers = []string{}
	}
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision, Created: created, Finalizers: finalizers}, Spec: spec, Status: status}
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind, revision: s.revision})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Tombstone: true, kind: kind, revision: s.revision})
	s.wake()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var body Object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.handle(r, kind, name, &body)
	era := s.era
	s.mu.Unlock()
	reply(w, era, status, answer)
}

func reply(w http.ResponseWriter, era uint64, status int, answer any) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// handle carries out one call; s.mu is held.
func (s *Store) handle(r *http.Request, kind, name string, body *Object) (int, any) {
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	condition := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []Object{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		return http.StatusOK, map[string]any{"items": items, "truncated": false, "current_rev": s.revision}
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method == http.MethodPost:
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, current
	case condition != 0 && condition != current.Metadata.Revision:
		return http.StatusConflict, current
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, current
	}
	spec, status := body.Spec, current.Status
	if isStatus {
		spec, status = current.Spec, body.Status
	}
	if exists && string(spec) == string(current.Spec) && string(status) == string(current.Status) {
		return http.StatusOK, current
	}
	o := s.write(kind, name, spec, status, body.Metadata.Finalizers)
	if s.OnWrite != nil {
		s.OnWrite(kind, name, spec, s.era)
	}
	return http.StatusOK, o
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timeout := false; ; {
		s.mu.Lock()
		era, revision, away, changed := s.era, s.revision, s.away, s.changed
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case since > revision:
			reply(w, era, http.StatusGone, nil)
			return
		case len(events) > 0 || timeout:
			reply(w, era, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			timeout = true
		}
	}
}
