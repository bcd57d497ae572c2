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

// impossibleVersion is a resource version that no object ever has.
const impossibleVersion = math.MaxInt64

// ManagerOptions configure a Manager.
type ManagerOptions struct {
	Store objects.Store
	// Relay must keep SiteKind current; the Manager subscribes to it.
	Relay *relay.Relay
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// OnInForce is called, when not nil, with each version that comes into force.
	// Calls may be concurrent and out of order.
	OnInForce func(*Site)
	// Window is the number of changes that the document keeps once earlier ones
	// are archived; the default is MaxRecentChanges. Nodes may use different values.
	Window int
}

// Manager holds the configuration in force on one node and applies the changes that
// operators propose. It implements View.
//
// Lock order: no other lock is acquired while mu is held.
type Manager struct {
	options  ManagerOptions
	archive  archive
	document atomic.Pointer[Document]
	changed  chan struct{}
	// archiving is true while archiveInBackground runs.
	archiving atomic.Bool

	mu sync.Mutex
	// archived are the changes of the document that are known to be in the archive.
	archived map[ident.Change]bool
}

// NewManager returns a manager that receives configuration versions from the relay.
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

// Current returns the configuration in force, or nil before the first one was received.
// Callers must not modify it.
func (m *Manager) Current() *Site {
	d := m.document.Load()
	if d == nil {
		return nil
	}
	return &d.Site
}

// RecentChanges returns the latest changes of the configuration in force, oldest first.
// Callers must not modify the result.
func (m *Manager) RecentChanges() []ChangeRecord {
	d := m.document.Load()
	if d == nil {
		return nil
	}
	return d.Recent
}

// Changed returns a channel that is signalled after a version comes into force. One
// signal may cover several versions.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// Stale reports whether the version in force may have been superseded more than
// relay.StaleLimit ago, and the reason.
func (m *Manager) Stale(now time.Time) (reason string, stale bool) {
	if m.document.Load() == nil {
		return "no configuration was ever heard", true
	}
	return m.options.Relay.Stale(now)
}

// apply puts a version in force unless the version in force is the same or later.
func (m *Manager) apply(object objects.Object) {
	if object.Metadata.Name != SiteName {
		return
	}
	d, err := decodeDocument(object)
	if err != nil {
		m.options.Logger.Error("failed to decode the configuration", "version", object.Metadata.ResourceVersion, "error", err)
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
	if m.options.OnInForce != nil {
		m.options.OnInForce(&d.Site)
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// readCurrent returns the current document, or nil when there is none. A plain read
// may be stale, so it sends a conditional write with impossibleVersion, which cannot
// succeed, and decodes the object that the conflict response contains.
func (m *Manager) readCurrent(ctx context.Context) (*Document, error) {
	object, err := encodeDocument(&Document{}, impossibleVersion)
	if err != nil {
		return nil, err
	}
	_, err = m.options.Store.Update(ctx, object)
	if objects.KindOf(err) == objects.KindNotFound {
		return nil, nil
	}
	current, ok := objects.CurrentOf(err)
	if !ok {
		return nil, err
	}
	m.options.Relay.Put(current)
	return decodeDocument(current)
}

// read returns the document from a plain read of the store, which may be stale; nil when there is none.
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
