package config

import (
	"context"
	"maps"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxArchivedPerChange is the maximum number of changes that are archived after one accepted change.
	maxArchivedPerChange = 4
	// archiveTimeout limits the time of one run of archiveInBackground.
	archiveTimeout = 10 * time.Second
)

// archiveChange stores a change in the archive and records in m.archived that it is there.
func (m *Manager) archiveChange(ctx context.Context, change archivedChange) error {
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

// knownArchived returns the changes that are known to be in the archive. It first
// removes those that the document in force no longer lists.
func (m *Manager) knownArchived() map[ident.Change]bool {
	d := m.document.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d != nil {
		maps.DeleteFunc(m.archived, func(change ident.Change, _ bool) bool { return d.find(change) < 0 })
	}
	return maps.Clone(m.archived)
}

// archiveInBackground archives the oldest changes beyond the window concurrently with
// proposals, so that later proposals can drop them from the document. Failures are
// retried after the next accepted change. At most one run is active at a time.
func (m *Manager) archiveInBackground() {
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

// archiveOldest archives the oldest changes of d beyond the window, and one more to
// make room for the next change.
func (m *Manager) archiveOldest(ctx context.Context, d *Document) {
	known := m.knownArchived()
	done := 0
	for i := range min(len(d.Recent)-m.options.Window+1, len(d.Recent)-1) {
		if known[d.Recent[i].Change] {
			continue
		}
		if done == maxArchivedPerChange {
			return
		}
		if err := m.archiveChange(ctx, d.archivedChangeAt(i)); err != nil {
			m.options.Logger.Info("failed to archive a change", "change", d.Recent[i].Change, "error", err)
			return
		}
		done++
	}
}
