//go:build review

package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata and Object are an object of the store in its JSON form.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object    Object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
	revision  uint64
}

// Copy is a copy of the store's objects, to come back from.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Address string
	log     *Log

	mu      sync.Mutex
	rev     uint64
	era     uint64
	away    bool
	objects map[string]map[string]Object
	history []event
	// oldest is the revision before the first event in history.
	oldest  uint64
	changed chan struct{}
	server  *http.Server
	// unanswered holds the writes that got no answer while the store was away.
	unanswered []call
	// OnWrite, if not nil, is called after each answered write of the system. It is called with mu held
	// and may return true to make the store go away at once.
	OnWrite func(kind, name string, spec json.RawMessage) (away bool)
}

// call is a write that got no answer.
type call struct {
	method, kind, name, query string
	body                      []byte
}

// operators are the kinds that the operator and the replicas write.
var operators = map[string]bool{"config": true, "servers": true}

// NewStore starts a store on a free port of ip.
func NewStore(ip string, log *Log) (*Store, error) {
	s := &Store{log: log, rev: 100, oldest: 100, era: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.Address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: data})
}

// Remove removes an object as its owner does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Objects returns the objects of a kind.
func (s *Store) Objects(kind string) map[string]Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]Object{}
	for name, o := range s.objects[kind] {
		out[name] = o
	}
	return out
}

// Copy returns a copy of the store as it is now.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Copy{revision: s.rev, objects: map[string]map[string]Object{}}
	for kind, all := range s.objects {
		out.objects[kind] = map[string]Object{}
		for name, o := range all {
			out.objects[kind][name] = o
		}
	}
	return out
}

// GoAway makes the store break off every call until ComeBack.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// ComeBack ends an absence: the store is back with the objects of the copy, in the next era. What the
// operator and the replicas wrote since the copy is written again at once.
func (s *Store) ComeBack(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owned := map[string]map[string]Object{}
	for kind := range operators {
		owned[kind] = s.objects[kind]
	}
	s.objects = map[string]map[string]Object{}
	for kind, all := range c.objects {
		s.objects[kind] = map[string]Object{}
		for name, o := range all {
			s.objects[kind][name] = o
		}
	}
	s.rev, s.oldest, s.history = c.revision, c.revision, nil
	s.era++
	s.away = false
	for kind, all := range owned {
		for name, o := range all {
			if before, ok := s.objects[kind][name]; !ok || string(before.Spec) != string(o.Spec) {
				s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: o.Spec})
			}
		}
		for name := range s.objects[kind] {
			if _, ok := all[name]; !ok {
				s.remove(kind, name)
			}
		}
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(kind string, o Object) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	before, known := s.objects[kind][o.Metadata.Name]
	if known && sameContent(kind, before.Spec, o.Spec) {
		before.Spec = o.Spec
		s.objects[kind][o.Metadata.Name] = before
		return before
	}
	s.rev++
	o.Metadata.Revision, o.Metadata.Created = s.rev, s.rev
	if known {
		o.Metadata.Created = before.Metadata.Created
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind, revision: s.rev})
	s.wake()
	return o
}

// sameContent reports whether a write changes nothing. An entry of a replica changes when more than its
// seq does.
func sameContent(kind string, before, after json.RawMessage) bool {
	if string(before) == string(after) {
		return true
	}
	if kind != "servers" {
		return false
	}
	var a, b map[string]any
	if json.Unmarshal(before, &a) != nil || json.Unmarshal(after, &b) != nil {
		return false
	}
	delete(a, "seq")
	delete(b, "seq")
	return reflect.DeepEqual(a, b)
}

func (s *Store) remove(kind, name string) {
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.rev++
	o.Metadata.Revision = s.rev
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Tombstone: true, kind: kind, revision: s.rev})
	s.wake()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		if r.Method != http.MethodGet {
			s.log.Printf("store is away, unanswered: %s %s %s", r.Method, r.URL.Path, body)
			s.unanswered = append(s.unanswered, call{r.Method, kind, name, r.URL.Query().Get("revision"), body})
		}
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	status, out := s.handle(call{r.Method, kind, name, r.URL.Query().Get("revision"), body})
	if r.Method != http.MethodGet && !operators[kind] {
		s.log.Printf("store era %d: %s %s -> %d %s", s.era, r.Method, r.URL.Path, status, body)
	}
	s.answer(w, status, out)
	if o, ok := out.(Object); ok && status/100 == 2 && r.Method != http.MethodGet && s.OnWrite != nil && s.OnWrite(kind, o.Metadata.Name, o.Spec) {
		s.away = true
		s.wake()
	}
}

// ExecuteLate carries out the writes that got no answer while the store was away, if their conditions
// hold.
func (s *Store) ExecuteLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.unanswered {
		status, _ := s.handle(c)
		s.log.Printf("store era %d, executed late: %s %s/%s -> %d %s", s.era, c.method, c.kind, c.name, status, c.body)
	}
	s.unanswered = nil
}

func (s *Store) answer(w http.ResponseWriter, status int, out any) {
	data, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) handle(c call) (status int, out any) {
	var given Object
	if len(c.body) > 0 && json.Unmarshal(c.body, &given) != nil {
		return http.StatusBadRequest, nil
	}
	kind, name := c.kind, c.name
	if name == "" && c.method == http.MethodPost {
		name = given.Metadata.Name
		if o, known := s.objects[kind][name]; known {
			return http.StatusConflict, o
		}
		given.Metadata = Metadata{Name: name}
		return http.StatusCreated, s.put(kind, given)
	}
	if name == "" {
		return http.StatusOK, s.list(kind)
	}
	o, known := s.objects[kind][name]
	if !known {
		return http.StatusNotFound, nil
	}
	condition := given.Metadata.Revision
	if c.query != "" {
		condition, _ = strconv.ParseUint(c.query, 10, 64)
	}
	if condition != 0 && condition != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch c.method {
	case http.MethodPut:
		given.Metadata = Metadata{Name: name}
		return http.StatusOK, s.put(kind, given)
	case http.MethodDelete:
		s.remove(kind, name)
	}
	return http.StatusOK, o
}

func (s *Store) list(kind string) any {
	items := []Object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return map[string]any{"items": items, "truncated": false, "current_rev": s.rev}
}

// watch answers with the events after a revision, as soon as there is one. s.mu is held on entry and
// on return.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := s.era
	for over := false; ; {
		if s.away || s.era != era {
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut off
		}
		if since < s.oldest || since > s.rev {
			s.answer(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		if len(events) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.rev})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}

// EntryOf returns the entry that a sound replica writes.
func EntryOf(service, address, zone, state string, slots, seq int, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "addr": address, "zone": zone, "version": "v1", "slots": slots,
		"state": state, "cold_remaining_ms": 0, "seq": seq, "born": born.UnixMilli(),
	}
}

func (o Object) String() string {
	return fmt.Sprintf("%s@%d %s", o.Metadata.Name, o.Metadata.Revision, o.Spec)
}
