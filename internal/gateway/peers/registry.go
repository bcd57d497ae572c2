package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
)

// KindNodes is the kind of the store objects through which nodes discover each other.
const KindNodes objects.Kind = "mangoledge-nodes"

const (
	// registerRetry is the pause after a failed registration.
	registerRetry = 400 * time.Millisecond
	// listInterval is the interval at which the records are listed, to find nodes that no
	// message comes from. listIntervalPerNode lengthens it at large sites: listing is only a fallback
	// there, and each list is a call to the store.
	listInterval        = 15 * time.Second
	listIntervalPerNode = 2 * time.Second
	// registerAgainSpread is the time over which nodes register again after the store came back
	// from an older copy.
	registerAgainSpread = 1500 * time.Millisecond
)

// noPrevious stands for the incarnation before a node's first one; it sorts before all others.
const noPrevious = "0"

// Record holds the addresses at which a node's process is reached.
type Record struct {
	Incarnation string `json:"incarnation"`
	// Address is the UDP address for messages.
	Address string `json:"address"`
	// Control is the HTTP address for calls from other nodes.
	Control string `json:"control"`
}

// Registry registers this node and tracks the records of all nodes. It is safe for concurrent
// use.
type Registry struct {
	store  objects.Store
	node   string
	own    Record
	logger *slog.Logger

	mu      sync.Mutex
	records map[string]Record
	// listed holds the incarnation of each node in the store's last list; nil before the first
	// list.
	listed map[string]string
	// previous is the incarnation of this node that was registered before this process:
	// noPrevious if there was none, empty until known.
	previous string
	// registerAgain holds a signal that the stored record may be gone.
	registerAgain chan struct{}
	// joined is closed (through join) once this node's record is stored and the others are
	// listed.
	joined chan struct{}
	join   sync.Once
}

// NewRegistry returns a registry that will register node with the record own.
func NewRegistry(store objects.Store, node string, own Record, logger *slog.Logger) *Registry {
	return &Registry{store: store, node: node, own: own, logger: logger, records: make(map[string]Record), registerAgain: make(chan struct{}, 1), joined: make(chan struct{})}
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

// Count returns the number of known nodes, this one included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, own := r.records[r.node]; own {
		return len(r.records)
	}
	return len(r.records) + 1
}

// AddUnknown adds records that another node sent, without replacing known ones.
func (r *Registry) AddUnknown(records map[string]Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, record := range records {
		if _, known := r.records[name]; !known {
			r.records[name] = record
		}
	}
}

// Run registers this node and periodically lists the others until ctx ends. In between, nodes
// learn of each other from messages. A node lists after it has registered, so that of two nodes
// that start at once the later to register finds the other.
func (r *Registry) Run(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		err := r.registerAndList(ctx, &registered)
		if err == nil {
			registered = !r.waitForNextList(ctx)
			continue
		}
		r.logger.Warn("could not register or list nodes", "registered", registered, "error", err)
		wait.For(ctx, registerRetry)
	}
}

// RegisterAgain makes this node write its record again soon, because the store may have lost it.
func (r *Registry) RegisterAgain() {
	select {
	case r.registerAgain <- struct{}{}:
	default:
	}
}

// waitForNextList waits until the records are to be listed again. It returns true if this node has to
// register again before; nodes that all have to are spread over registerAgainSpread.
func (r *Registry) waitForNextList(ctx context.Context) bool {
	timer := time.NewTimer(max(listInterval, time.Duration(len(r.Others()))*listIntervalPerNode))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.registerAgain:
		wait.For(ctx, rand.N(registerAgainSpread)) //nolint:gosec // spreads calls, keeps no secrets
		return true
	}
	return false
}

// registerAndList registers this node, unless *registered says that it was, and lists the others.
func (r *Registry) registerAndList(ctx context.Context, registered *bool) error {
	if !*registered {
		if err := r.register(ctx); err != nil {
			// List even so: a node that knows no others would grant the full rate of every
			// quota. It lists again once it has registered.
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

// list updates the records from the store.
func (r *Registry) list(ctx context.Context) error {
	list, err := r.store.List(ctx, KindNodes)
	if err != nil {
		return err
	}
	listed := make(map[string]string, len(list.Items))
	for _, object := range list.Items {
		record, err := decodeRecord(object)
		listed[object.Metadata.Name] = record.Incarnation
		r.recordListed(object.Metadata.Name, record, err)
	}
	r.mu.Lock()
	r.listed = listed
	r.mu.Unlock()
	return nil
}

// HasListed reports whether this node has listed the others, even if it could not register itself.
func (r *Registry) HasListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed != nil
}

// PreviousIncarnationOf returns the incarnation of another node that preceded its current one,
// or empty if not known. The node may have announced it itself; else it is taken from the
// store's last list.
func (r *Registry) PreviousIncarnationOf(node, current, announced string) string {
	if announced != "" {
		return announced
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, found := r.listed[node]
	switch {
	case r.listed == nil || stored == current:
		return ""
	case !found:
		return noPrevious
	}
	return stored
}

// Update records the addresses that a node announced, unless a later incarnation is known.
func (r *Registry) Update(node string, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.records[node]; !ok || known.Incarnation < record.Incarnation {
		r.records[node] = record
	}
}

// register writes this node's record to the store.
func (r *Registry) register(ctx context.Context) error {
	spec, err := json.Marshal(r.own)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	object := objects.Object{Kind: KindNodes, Metadata: objects.Metadata{Name: r.node}, Spec: spec}
	current, err := r.store.Get(ctx, KindNodes, r.node)
	switch {
	case objects.KindOf(err) == objects.KindNotFound && err != nil:
		r.setPrevious(noPrevious)
		_, err = r.store.Create(ctx, object)
		return err
	case err != nil:
		return err
	}
	registered, err := decodeRecord(current)
	if err == nil && registered == r.own {
		return nil // an earlier write succeeded although its response was lost
	}
	r.setPrevious(registered.Incarnation)
	object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
	_, err = r.store.Update(ctx, object)
	return err
}

// decodeRecord returns the record stored in an object, or an empty one with an error.
func decodeRecord(object objects.Object) (Record, error) {
	var record Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return Record{}, err
	}
	return record, nil
}

// setPrevious sets the incarnation that was registered before this one, unless it is known: a record
// that is missing later was lost by the store.
func (r *Registry) setPrevious(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.previous == "" {
		r.previous = incarnation
	}
}

// PreviousIncarnation returns the incarnation of this node that was registered before this one:
// empty if not known yet, "0" if there was none.
func (r *Registry) PreviousIncarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previous
}

// IsFirstIncarnation reports whether this is known to be the node's first process, that is, no
// record of it was stored before.
func (r *Registry) IsFirstIncarnation() bool { return r.PreviousIncarnation() == noPrevious }

// Joined returns a channel that is closed once other processes can find this one's record, and
// this one knows theirs.
func (r *Registry) Joined() <-chan struct{} { return r.joined }

// recordListed records a node's record read from the store; err is why it could not be decoded.
func (r *Registry) recordListed(node string, record Record, err error) {
	if err != nil || record.Address == "" {
		r.logger.Warn("ignoring invalid node record", "name", node, "error", err)
		return
	}
	r.Update(node, record)
}
