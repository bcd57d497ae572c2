package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
)

// KindNodes is the kind of the objects by which nodes find each other.
const KindNodes objects.Kind = "mangoledge-nodes"

const (
	// registerRetry is the pause after a registration that failed.
	registerRetry = 400 * time.Millisecond
	// listInterval is how often the records are listed, for nodes that no message names,
	// and listPerNode the same for each of many nodes: that they list each other is a
	// safety net, and each list is a call of the store.
	listInterval = 15 * time.Second
	listPerNode  = 2 * time.Second
)

// noPrevious is the incarnation before the first of a node; it precedes all others.
const noPrevious = "0"

// Record is where a node is reached.
type Record struct {
	Incarnation string `json:"incarnation"`
	// Address is where the node takes messages, by UDP.
	Address string `json:"address"`
	// Control is where the node answers other nodes, by HTTP.
	Control string `json:"control"`
}

// Registry follows the records of all nodes. It is safe for concurrent use.
type Registry struct {
	store  objects.Store
	node   string
	own    Record
	logger *slog.Logger

	mu      sync.Mutex
	records map[string]Record
	// listed holds the incarnations as the store listed them last; nil before.
	listed map[string]string
	// previous is the incarnation that was registered before this one, noPrevious when
	// there was none, and empty until the store said so.
	previous string
	// joined is closed, by join, once the own record stands in the store and the others are listed.
	joined chan struct{}
	join   sync.Once
}

// NewRegistry returns a registry that will register node as own.
func NewRegistry(store objects.Store, node string, own Record, logger *slog.Logger) *Registry {
	return &Registry{store: store, node: node, own: own, logger: logger, records: make(map[string]Record), joined: make(chan struct{})}
}

// Others returns the records of the other nodes by name.
func (r *Registry) Others() map[string]Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Record, len(r.records))
	for name, record := range r.records {
		if name != r.node {
			out[name] = record
		}
	}
	return out
}

// Known returns the records of all nodes by name, this one's included.
func (r *Registry) Known() map[string]Record {
	out := r.Others()
	out[r.node] = r.own
	return out
}

// Count returns how many nodes are known, this one included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, own := r.records[r.node]; own {
		return len(r.records)
	}
	return len(r.records) + 1
}

// Learn takes over records that another node told, without replacing known ones.
func (r *Registry) Learn(records map[string]Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, record := range records {
		if _, known := r.records[name]; !known {
			r.records[name] = record
		}
	}
}

// Run registers this node and lists the others now and then until ctx ends. In
// between, nodes learn of each other by their messages. Of two nodes that start at
// once the later to register lists the other, as a node lists after it registered.
func (r *Registry) Run(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		err := r.step(ctx, &registered)
		if err == nil {
			wait.For(ctx, max(listInterval, time.Duration(len(r.Others()))*listPerNode))
			continue
		}
		r.logger.Warn("nodes not listed", "registered", registered, "error", err)
		wait.For(ctx, registerRetry)
	}
}

func (r *Registry) step(ctx context.Context, registered *bool) error {
	if !*registered {
		if err := r.register(ctx); err != nil {
			// The others are listed all the same: a node that knows nobody would hand out
			// the whole of every quota. It lists again once it has registered.
			return errors.CombineErrors(err, r.list(ctx))
		}
		*registered = true
		r.logger.Info("node registered", "address", r.own.Address)
	}
	if err := r.list(ctx); err != nil {
		return err
	}
	r.join.Do(func() { close(r.joined) })
	return nil
}

// list takes over all records of the store.
func (r *Registry) list(ctx context.Context) error {
	list, err := r.store.List(ctx, KindNodes)
	if err != nil {
		return err
	}
	listed := make(map[string]string, len(list.Items))
	for _, object := range list.Items {
		record, err := decodeRecord(object)
		listed[object.Metadata.Name] = record.Incarnation
		r.put(object.Metadata.Name, record, err)
	}
	r.mu.Lock()
	r.listed = listed
	r.mu.Unlock()
	return nil
}

// Listed reports whether this node listed the others, registered itself or not.
func (r *Registry) Listed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed != nil
}

// PreviousOf returns the incarnation before the one that lives of another node, which may
// have told it; it is empty when that is not known.
func (r *Registry) PreviousOf(node, living, told string) string {
	if told != "" {
		return told
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, found := r.listed[node]
	switch {
	case r.listed == nil || stored == living:
		return ""
	case !found:
		return noPrevious
	}
	return stored
}

// Hear takes over where a node said that it is reached.
func (r *Registry) Hear(node string, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.records[node]; !ok || known.Incarnation < record.Incarnation {
		r.records[node] = record
	}
}

// register writes this node's record.
func (r *Registry) register(ctx context.Context) error {
	spec, err := json.Marshal(r.own)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	object := objects.Object{Kind: KindNodes, Metadata: objects.Metadata{Name: r.node}, Spec: spec}
	current, err := r.store.Get(ctx, KindNodes, r.node)
	switch {
	case objects.KindOf(err) == objects.KindNotFound && err != nil:
		r.notePrevious(noPrevious)
		_, err = r.store.Create(ctx, object)
		return err
	case err != nil:
		return err
	}
	registered, err := decodeRecord(current)
	if err == nil && registered == r.own {
		return nil // a write before this one was done, and its answer lost
	}
	r.notePrevious(registered.Incarnation)
	object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
	_, err = r.store.Update(ctx, object)
	return err
}

// decodeRecord returns the record that an object holds, an empty one with an error.
func decodeRecord(object objects.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return Record{}, err
	}
	return record, nil
}

func (r *Registry) notePrevious(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.previous = incarnation
}

// Previous returns the incarnation of this node that was registered before this one; it
// is empty while that is not known.
func (r *Registry) Previous() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous
}

// First reports whether this node has registered and no process of it had before.
func (r *Registry) First() bool { return r.Previous() == noPrevious }

// Joined is closed once other processes can find the record of this one, and this one
// knows theirs.
func (r *Registry) Joined() <-chan struct{} { return r.joined }

// put takes over the record of a node as the store has it; err is why it cannot be read.
func (r *Registry) put(node string, record Record, err error) {
	if err != nil || record.Address == "" {
		r.logger.Warn("node record ignored", "name", node, "error", err)
		return
	}
	r.Hear(node, record)
}
