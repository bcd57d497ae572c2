package lease

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// clockMargin is the largest drift between two clocks that is tolerated over one TTL.
func (l *Lease) clockMargin() time.Duration { return l.options.TTL / clockMarginDivisor }

// tryAcquire reads the lease and acquires it if it is free or has expired.
func (l *Lease) tryAcquire(ctx context.Context) error {
	readStarted := l.options.Clock()
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name)
	if objects.KindOf(err) == objects.KindNotFound {
		return l.recreateDeleted(ctx)
	}
	if err != nil {
		return err
	}
	record, err := decodeRecord(object)
	if err != nil {
		return err
	}
	since := l.recordObserved(object.Metadata.ResourceVersion, record)
	if record.Holder == l.options.Holder {
		// The response to an earlier write by this node was lost; the record that the write
		// replaced is no longer known, so its holder's orders are waited out.
		return l.acquire(ctx, object.Metadata.ResourceVersion, record, true)
	}
	if record.Holder == "" {
		return l.acquire(ctx, object.Metadata.ResourceVersion, record, false)
	}
	ttl := time.Duration(record.TTLMs) * time.Millisecond
	if readStarted.Sub(since) < ttl+l.clockMargin() {
		return nil
	}
	return l.acquire(ctx, object.Metadata.ResourceVersion, record, true)
}

// recordObserved records the lease as read from the store and returns the time since which
// it has been unchanged. Reads older than the newest one seen are ignored.
func (l *Lease) recordObserved(version objects.Version, record Record) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.version {
		l.version = version
		l.record = record
		l.unchangedSince = l.options.Clock()
	}
	return l.unchangedSince
}

// acquire replaces version base of the lease with a record that names this node as the holder.
// With lapsed, orders of the previous holder may still be in progress and are waited out.
func (l *Lease) acquire(ctx context.Context, base objects.Version, last Record, lapsed bool) error {
	next := Record{
		Holder: l.options.Holder,
		Fence:  last.Fence + 1,
		TTLMs:  l.options.TTL.Milliseconds(),
	}
	if base != 0 {
		fence, err := l.issueFence(ctx, last.Fence, base.Era())
		if err != nil {
			return err
		}
		next.Fence = fence
	}
	var wait time.Duration
	switch {
	case lapsed && last.Holder == l.options.Holder:
		// The record that this node's own write replaced is not known: it may have been released.
		wait = max(l.options.OrderTimeout, l.options.HandoverWait)
	case lapsed:
		wait = l.options.OrderTimeout
	case base != 0:
		wait = l.options.HandoverWait
	}
	if last.Fence <= minFence(base.Era()) {
		wait = max(wait, l.eraWait(base))
	}
	return l.writeRecord(ctx, base, next, wait)
}

// renew extends the lease; if another node holds it by now, this node stops being the holder.
func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	base := l.version
	next := l.record
	l.mu.Unlock()
	next.Renewal++
	return l.writeRecord(ctx, base, next, 0)
}

// writeRecord makes one conditional write and updates the local state from its outcome. A new
// holder then waits for the given time before it sends orders to upstreams that ignore
// fencing numbers.
func (l *Lease) writeRecord(ctx context.Context, base objects.Version, next Record, wait time.Duration) error {
	object, err := next.encode(l.options.Name, base)
	if err != nil {
		return err
	}
	sent := l.options.Clock()
	var stored objects.Object
	if base == 0 {
		stored, err = l.options.Store.Create(ctx, object)
	} else {
		stored, err = l.options.Store.Update(ctx, object)
	}
	if err == nil {
		err = l.checkStoredEra(stored.Metadata.ResourceVersion, next.Fence)
		if err != nil {
			return err // the next step acquires the lease again, with a number of this era
		}
	}
	if err == nil && base == 0 {
		err = l.issueFirstFence(ctx, next.Fence)
		if err != nil {
			return err // the next step finds its own record in the lease and acquires it again
		}
	}
	if err == nil {
		l.setHeld(stored.Metadata.ResourceVersion, next, wait, sent.Add(l.options.TTL-l.clockMargin()))
		return nil
	}
	if base != 0 && objects.KindOf(err) == objects.KindNotFound {
		l.setLost(0, Record{}) // deleted by an operator
		return err
	}
	current, known := objects.CurrentOf(err)
	if !known && objects.KindOf(err) == objects.KindConflict {
		l.setLost(0, Record{}) // the version is of an earlier era of the store
		return err
	}
	if !known {
		return err // outcome unknown; the lease expires unless the next step succeeds
	}
	record, decodeErr := decodeRecord(current)
	if decodeErr != nil {
		return decodeErr
	}
	if record == next && l.checkStoredEra(current.Metadata.ResourceVersion, next.Fence) == nil {
		// An earlier write of the same record took effect but its response was lost. The time
		// it was sent is not known here, so it does not extend the lease.
		l.setHeld(current.Metadata.ResourceVersion, record, wait, time.Time{})
		return nil
	}
	l.setLost(current.Metadata.ResourceVersion, record)
	return nil
}

// setHeld records that this node is the holder, at least until validUntil.
func (l *Lease) setHeld(version objects.Version, record Record, wait time.Duration, validUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		l.options.Logger.Info("lease acquired", "name", l.options.Name, "fence", record.Fence, "wait", wait)
		l.validUntil = time.Time{}
		l.unfencedAfter = l.options.Clock().Add(wait)
	}
	l.held = true
	l.version = version
	l.record = record
	if validUntil.After(l.validUntil) {
		l.validUntil = validUntil
	}
}

// setLost records that this node does not hold the lease, and the record that replaced its own.
func (l *Lease) setLost(version objects.Version, record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		l.options.Logger.Warn("lease lost", "name", l.options.Name, "holder", record.Holder, "fence", record.Fence)
	}
	l.held = false
	l.version = version
	l.record = record
	l.unchangedSince = l.options.Clock()
}

// Release gives up the lease, so that the next holder need not wait for its expiry. The
// caller must have no order in progress.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, base, last := l.held, l.version, l.record
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	last.Holder = ""
	object, err := last.encode(l.options.Name, base)
	if err != nil {
		return err
	}
	_, err = l.options.Store.Update(ctx, object)
	return err
}
