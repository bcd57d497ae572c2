package lease

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// margin is what clocks may differ by over the time of one renewal.
func (l *Lease) margin() time.Duration { return l.options.TTL / marginShare }

// compete looks at the lease and takes it when it is free or has lapsed.
func (l *Lease) compete(ctx context.Context) error {
	asked := l.options.Clock()
	object, err := l.options.Store.Get(ctx, Kind, l.options.Name)
	if objects.KindOf(err) == objects.KindNotFound {
		return l.replaceMissing(ctx)
	}
	if err != nil {
		return err
	}
	record, err := decodeRecord(object)
	if err != nil {
		return err
	}
	since := l.noteSeen(object.Metadata.ResourceVersion, record)
	if record.Holder == l.options.Holder {
		// An own write whose answer was lost; what it replaced is not known any more.
		return l.take(ctx, object.Metadata.ResourceVersion, record, true)
	}
	if record.Holder == "" {
		return l.take(ctx, object.Metadata.ResourceVersion, record, false)
	}
	ttl := time.Duration(record.TTLMs) * time.Millisecond
	if asked.Sub(since) < ttl+l.margin() {
		return nil
	}
	return l.take(ctx, object.Metadata.ResourceVersion, record, true)
}

// noteSeen notes the lease as it was read and returns since when it is unchanged.
// A read that is older than one before changes nothing.
func (l *Lease) noteSeen(version objects.Version, record Record) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.version {
		l.version = version
		l.record = record
		l.seen = l.options.Clock()
	}
	return l.seen
}

// take writes this node as the next holder over version base.
func (l *Lease) take(ctx context.Context, base objects.Version, last Record, lapsed bool) error {
	next := Record{
		Holder: l.options.Holder,
		Fence:  last.Fence + 1,
		TTLMs:  l.options.TTL.Milliseconds(),
	}
	if base != 0 {
		fence, err := l.issue(ctx, last.Fence)
		if err != nil {
			return err
		}
		next.Fence = fence
	}
	var wait time.Duration
	if lapsed {
		wait = OrderTimeout
	}
	return l.write(ctx, base, next, wait)
}

// renew writes the same holder again; when another has the lease it is given up.
func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	base := l.version
	next := l.record
	l.mu.Unlock()
	next.Renewal++
	return l.write(ctx, base, next, 0)
}

// write makes one conditional write and settles what came of it; a new holder
// then lets wait pass before orders to upstreams that ignore fencing numbers.
func (l *Lease) write(ctx context.Context, base objects.Version, next Record, wait time.Duration) error {
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
	if err == nil && base == 0 {
		err = l.issueFirst(ctx, next.Fence)
		if err != nil {
			return err // the next step finds the lease as its own, and takes it anew
		}
	}
	if err == nil {
		l.hold(stored.Metadata.ResourceVersion, next, wait, sent.Add(l.options.TTL-l.margin()))
		return nil
	}
	if base != 0 && objects.KindOf(err) == objects.KindNotFound {
		l.lost(0, Record{}) // deleted by hand
		return err
	}
	current, told := objects.CurrentOf(err)
	if !told {
		return err // nothing is known; the lease runs out by its time, and the next step tries again
	}
	record, decodeErr := decodeRecord(current)
	if decodeErr != nil {
		return decodeErr
	}
	if record == next {
		// An earlier write of the same record took effect and its answer was lost.
		// When it was sent is not known here, so it makes the lease no longer.
		l.hold(current.Metadata.ResourceVersion, record, wait, time.Time{})
		return nil
	}
	l.lost(current.Metadata.ResourceVersion, record)
	return nil
}

// hold notes that this node is the holder, at least until validUntil.
func (l *Lease) hold(version objects.Version, record Record, wait time.Duration, validUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		l.options.Logger.Info("lease taken", "name", l.options.Name, "fence", record.Fence, "wait", wait)
		l.validUntil = time.Time{}
		l.waitedOut = l.options.Clock().Add(wait)
	}
	l.held = true
	l.version = version
	l.record = record
	if validUntil.After(l.validUntil) {
		l.validUntil = validUntil
	}
}

// lost notes that another node has the lease.
func (l *Lease) lost(version objects.Version, record Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		l.options.Logger.Warn("lease lost", "name", l.options.Name, "holder", record.Holder, "fence", record.Fence)
	}
	l.held = false
	l.version = version
	l.record = record
	l.seen = l.options.Clock()
}

// Release gives the lease up, so that the next holder need not wait. The caller
// has no order in progress.
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
