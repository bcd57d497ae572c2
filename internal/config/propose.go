package config

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// proposeTimeout limits the time of a proposal; an earlier deadline of its context still applies.
	proposeTimeout = 2500 * time.Millisecond
	// retryDelay is the time to wait before a call is retried.
	retryDelay = 100 * time.Millisecond
)

// Propose applies a change and returns its outcome. It returns an error only when
// ctx has already ended. Sending the same proposal again is safe.
func (m *Manager) Propose(ctx context.Context, p Proposal) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return Outcome{}, err
	}
	if !namePattern.MatchString(string(p.Change)) {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: allowedName}
		return Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}}, nil
	}
	if faults := staticFaults(&p); len(faults) > 0 {
		return Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: faults}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome := m.runAttempt(ctx, &attempt{proposal: &p, window: m.options.Window, current: m.document.Load(), archived: m.knownArchived()})
	if outcome.Kind == OutcomeAccepted {
		m.archiveInBackground()
	}
	m.options.Logger.Info("change proposed", "change", p.Change, "outcome", outcome.Kind, "version", outcome.Version)
	return outcome, nil
}

// runAttempt executes steps until there is an outcome or ctx ends. Errors of steps are retried.
func (m *Manager) runAttempt(ctx context.Context, a *attempt) Outcome {
	reason := "no answer in time"
	for ctx.Err() == nil {
		s := a.nextStep()
		if s.outcome != nil {
			return *s.outcome
		}
		err := m.executeStep(ctx, a, s)
		if err != nil {
			reason = err.Error()
		}
		if err != nil || s.reread {
			wait.For(ctx, retryDelay)
		}
	}
	return a.finalOutcome(reason)
}

// executeStep executes one step and records its result in a. All errors are retryable.
func (m *Manager) executeStep(ctx context.Context, a *attempt, s step) error {
	switch {
	case s.reread:
		d, err := m.readCurrent(ctx)
		if err == nil {
			a.updateFresh(d)
		}
		return err
	case s.search:
		version := a.current.Site.Version
		b, err := m.archive.readBucket(ctx, bucketName(a.proposal.Change))
		if err == nil {
			a.recordSearch(version, b)
		}
		return err
	case s.archive != nil:
		err := m.archiveChange(ctx, *s.archive)
		if err == nil {
			a.markArchived(s.archive.Change)
		}
		return err
	}
	return m.write(ctx, a, s)
}

// write performs the conditional write of a step and records its result in a. All
// errors are retryable.
func (m *Manager) write(ctx context.Context, a *attempt, s step) error {
	object, err := encodeDocument(s.document, s.base)
	if err != nil {
		return err
	}
	var stored objects.Object
	if s.base == 0 {
		stored, err = m.options.Store.Create(ctx, object)
	} else {
		stored, err = m.options.Store.Update(ctx, object)
	}
	result, returned := classifyWrite(stored, err)
	if returned != nil {
		m.options.Relay.Put(*returned)
	}
	a.recordWrite(result, s.base, decodeOrNil(returned))
	if returned != nil {
		return nil
	}
	return err
}

// classifyWrite returns the result of a write, and the object in the store's response or nil.
func classifyWrite(stored objects.Object, err error) (result writeResult, returned *objects.Object) {
	if err == nil {
		return writeApplied, &stored
	}
	switch objects.KindOf(err) {
	case objects.KindConflict:
		if current, ok := objects.CurrentOf(err); ok {
			return writeConflict, &current
		}
		return writeConflict, nil
	case objects.KindRefused, objects.KindUnavailable, objects.KindNotFound:
		return writeNotApplied, nil
	case objects.KindUnknown, objects.KindCompacted, objects.KindWatchIdle:
		return writeUnknown, nil
	}
	return writeUnknown, nil
}

// decodeOrNil decodes an object; it returns nil when object is nil or can't be decoded.
func decodeOrNil(object *objects.Object) *Document {
	if object == nil {
		return nil
	}
	d, err := decodeDocument(*object)
	if err != nil {
		return nil
	}
	return d
}
