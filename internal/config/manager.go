package config

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
)

// impossibleVersion is a version that no object ever has.
const impossibleVersion = math.MaxInt64

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	Store objects.Store
	// Relay must keep SiteKind current; the Manager subscribes to it.
	Relay *relay.Relay
	// Logger is slog.Default() when nil.
	Logger *slog.Logger
	// InForce is told of each version that comes in force, when not nil. Two calls
	// may overlap, and the one with the later version may come first.
	InForce func(*Site)
	// Window is how many changes the document keeps once the archive has those
	// before; MaxRecentChanges when 0. It need not be the same on every node.
	Window int
}

// Manager keeps the configuration in force on one node and changes it for operators.
// It is a View.
//
// Lock order: mu is a leaf.
type Manager struct {
	options  ManagerOptions
	archive  archive
	document atomic.Pointer[Document]
	changed  chan struct{}
	// archiving is true while changes are put into the archive.
	archiving atomic.Bool

	mu sync.Mutex
	// archived are changes of the document that the archive has.
	archived map[ident.Change]bool
}

// NewManager returns a manager that hears of configuration by the relay.
func NewManager(options ManagerOptions) *Manager {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Window == 0 {
		options.Window = MaxRecentChanges
	}
	m := &Manager{options: options, archive: archive{store: options.Store}, changed: make(chan struct{}, 1)}
	options.Relay.Subscribe(SiteKind, m.apply)
	return m
}

// Current returns the version in force, or nil before the first; it must not be changed.
func (m *Manager) Current() *Site {
	d := m.document.Load()
	if d == nil {
		return nil
	}
	return &d.Site
}

// Recent returns the latest changes in force, oldest first; it must not be changed.
func (m *Manager) Recent() []ChangeRecord {
	d := m.document.Load()
	if d == nil {
		return nil
	}
	return d.Recent
}

// Changed receives after a version came in force; several may share one receipt.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// Stale reports whether the version in force may have been replaced more than
// relay.StaleLimit ago, and why.
func (m *Manager) Stale(now time.Time) (reason string, stale bool) {
	if m.document.Load() == nil {
		return "no configuration was ever heard", true
	}
	return m.options.Relay.Stale(now)
}

// apply puts a version in force unless a later one is.
func (m *Manager) apply(object objects.Object) {
	if object.Metadata.Name != SiteName {
		return
	}
	d, err := decodeDocument(object)
	if err != nil {
		m.options.Logger.Error("configuration can't be read", "version", object.Metadata.ResourceVersion, "error", err)
		return
	}
	for {
		old := m.document.Load()
		if old != nil && old.Site.Version >= d.Site.Version {
			return
		}
		if m.document.CompareAndSwap(old, d) {
			break
		}
	}
	m.options.Logger.Info("configuration in force", "version", d.Site.Version, "change", d.Site.Change)
	if m.options.InForce != nil {
		m.options.InForce(&d.Site)
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// readCurrent reads the document as it is, which a plain read need not: it makes
// a conditional write that can't take effect, since no object has that version,
// and takes the object that the conflict carries. It returns nil when there is none.
func (m *Manager) readCurrent(ctx context.Context) (*Document, error) {
	object, err := encodeDocument(&Document{}, impossibleVersion)
	if err != nil {
		return nil, err
	}
	_, err = m.options.Store.Update(ctx, object)
	if objects.KindOf(err) == objects.KindNotFound {
		return nil, nil
	}
	current, told := objects.CurrentOf(err)
	if !told {
		return nil, err
	}
	m.options.Relay.Put(current)
	return decodeDocument(current)
}

// read reads the document from the store, perhaps as it was; nil when there is none.
func (m *Manager) read(ctx context.Context) (*Document, error) {
	object, err := m.options.Store.Get(ctx, SiteKind, SiteName)
	if objects.KindOf(err) == objects.KindNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	m.options.Relay.Put(object)
	return decodeDocument(object)
}
