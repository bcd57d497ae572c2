//go:build review

// Package kit2 holds small stand-ins of the users' platform, after its pages, and starts the project's
// daemon as processes. It is used only by the cases of the review, each of which is a program.
package kit2

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Meta is the store's part of an object.
type Meta struct {
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
}

// Gate decides on a call before it is served: nil serves it, otherwise it has been answered.
type Gate func(w http.ResponseWriter, r *http.Request) (answered bool)

// Store is the platform's store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	gate     Gate
	era      uint64
	revision uint64
	objects  map[string]map[string]Object
	history  []event
	first    uint64
	changed  chan struct{}
	beats    map[string]time.Time
}

// heartbeat is the interval at which replicas write their entries; after three intervals of silence an
// entry is removed.
const heartbeat = 1200 * time.Millisecond

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{era: 1, revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			s.expire()
		}
	}()
	return s
}

// Address returns the store's host and port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// SetGate sets or removes the gate.
func (s *Store) SetGate(g Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = g
}

// CloseConns closes all connections to the store.
func (s *Store) CloseConns() { s.server.CloseClientConnections() }

// expire removes the entries of replicas that have been silent for three heartbeats.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.beats {
		if time.Since(at) > 3*heartbeat {
			delete(s.beats, name)
			s.remove("servers", name)
		}
	}
}

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == "servers" {
		s.beats[name] = time.Now()
	}
	return s.write(kind, name, data, s.objects[kind][name].Status).Metadata.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, name)
	s.remove(kind, name)
}

// Get returns the spec of an object, or nil.
func (s *Store) Get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// Names returns the names of a kind's objects.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.objects[kind] {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (s *Store) write(kind, name string, spec, status json.RawMessage) Object {
	known, exists := s.objects[kind][name]
	if exists && string(known.Spec) == string(spec) && string(known.Status) == string(status) {
		return known // a write that changes nothing is no event
	}
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	created := s.revision
	if exists {
		created = known.Metadata.Created
	}
	o := Object{Metadata: Meta{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: status}
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Tombstone: true, kind: kind})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	gate, era := s.gate, s.era
	s.mu.Unlock()
	if gate != nil && gate(w, r) {
		return
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	const page = 50
	truncated := len(names) > page
	names = names[:min(page, len(names))]
	items := make([]Object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "current_rev": revision})
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in Object
	body, err := io.ReadAll(r.Body)
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	base := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		base, _ = strconv.ParseUint(q, 10, 64)
	}
	current, exists := s.objects[kind][name]
	switch {
	case create && exists, exists && base != 0 && base != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, current)
	case isStatus:
		reply(w, http.StatusOK, s.write(kind, name, current.Spec, in.Status))
	default:
		if kind == "servers" {
			s.beats[name] = time.Now()
			if sameButSeq(in.Spec, current.Spec) {
				reply(w, http.StatusOK, current)
				return
			}
		}
		reply(w, http.StatusOK, s.write(kind, name, in.Spec, current.Status))
	}
}

// sameButSeq reports whether two entries of replicas differ in seq at most: such a heartbeat changes nothing.
func sameButSeq(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil || x == nil || y == nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	return reflect.DeepEqual(x, y)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := since < s.first || since > s.revision
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Call is a call to the platform's API that one node at a time may make.
type Call struct {
	At     time.Time
	Path   string
	Holder string
	From   string
	Fence  uint64
	Body   string
	Status int
}

// Cloud is the platform's API for usage reports and scaling orders, which checks fencing tokens.
type Cloud struct {
	server *httptest.Server
	mu     sync.Mutex
	seen   map[string]uint64
	calls  []Call
}

// NewCloud starts the API on a loopback address.
func NewCloud() *Cloud {
	c := &Cloud{seen: map[string]uint64{}}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Address returns the host and port.
func (c *Cloud) Address() string { return c.server.Listener.Addr().String() }

// Calls returns the calls so far.
func (c *Cloud) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var order struct{ Service, Zone string }
	_ = json.Unmarshal(body, &order)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Mangoledge-Fencing-Token"), 10, 64)
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := r.URL.Path + order.Service + "/" + order.Zone
	call := Call{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Mangoledge-Duty-Holder"), From: from, Fence: fence, Body: string(body), Status: http.StatusOK}
	if fence < c.seen[subject] {
		call.Status = http.StatusConflict
	}
	c.seen[subject] = max(c.seen[subject], fence)
	c.calls = append(c.calls, call)
	if call.Status == http.StatusConflict {
		reply(w, call.Status, map[string]any{"fencing_token": c.seen[subject]})
		return
	}
	w.WriteHeader(call.Status)
}

// Copy is a copy of the store's objects, to come back from in a drill.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
	history  int
}

// Copy returns a copy of the objects as they are now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Copy{revision: s.revision, objects: map[string]map[string]Object{}, history: len(s.history)}
	for kind, all := range s.objects {
		out.objects[kind] = maps.Clone(all)
	}
	return out
}

// ComeBack replaces the objects by those of a copy, in a new era, and then writes again what the operator
// and the replicas wrote since: their newest objects.
func (s *Store) ComeBack(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.objects
	s.objects = map[string]map[string]Object{}
	for kind, all := range c.objects {
		s.objects[kind] = maps.Clone(all)
	}
	s.revision, s.history = c.revision, s.history[:c.history:c.history]
	s.era++
	for _, kind := range []string{"config", "servers"} {
		for name, o := range before[kind] {
			s.write(kind, name, o.Spec, s.objects[kind][name].Status)
		}
		for name := range s.objects[kind] {
			if _, kept := before[kind][name]; !kept {
				s.remove(kind, name)
			}
		}
	}
	s.wake()
}

// Run serves a call as if it arrived now, for answers that are lost or calls that are carried out late.
func (s *Store) Run(r *http.Request) { s.serve(httptest.NewRecorder(), r) }
