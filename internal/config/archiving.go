package config

import (
	"context"
	"maps"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxArchivedAtOnce is how many changes are put into the archive after one change.
	maxArchivedAtOnce = 4
	// archiveTimeout bounds for how long that goes on.
	archiveTimeout = 10 * time.Second
)

// keep puts a change into the archive and remembers that it is there.
func (m *Manager) keep(ctx context.Context, change archivedChange) error {
	if err := m.archive.add(ctx, change); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.archived == nil {
		m.archived = make(map[ident.Change]bool)
	}
	m.archived[change.Change] = true
	return nil
}

// knownArchived returns the changes that are surely in the archive, forgetting those
// that the document in force does not list any more.
func (m *Manager) knownArchived() map[ident.Change]bool {
	d := m.document.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d != nil {
		maps.DeleteFunc(m.archived, func(change ident.Change, _ bool) bool { return d.find(change) < 0 })
	}
	return maps.Clone(m.archived)
}

// archiveSoon puts the oldest changes beyond the window into the archive, beside the
// proposals, so that the next ones may drop them. What fails is tried again after the
// next change.
func (m *Manager) archiveSoon() {
	d := m.document.Load()
	if d == nil || len(d.Recent) < m.options.Window || !m.archiving.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.archiving.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), archiveTimeout)
		defer cancel()
		m.archiveOldest(ctx, d)
	}()
}

// archiveOldest puts the oldest changes of d that are beyond the window, and one
// more for the next change, into the archive.
func (m *Manager) archiveOldest(ctx context.Context, d *Document) {
	known := m.knownArchived()
	done := 0
	for i := range min(len(d.Recent)-m.options.Window+1, len(d.Recent)-1) {
		if known[d.Recent[i].Change] {
			continue
		}
		if done == maxArchivedAtOnce {
			return
		}
		if err := m.keep(ctx, d.archivable(i)); err != nil {
			m.options.Logger.Info("a change was not archived", "change", d.Recent[i].Change, "error", err)
			return
		}
		done++
	}
}
