package config

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// proposeTimeout bounds a proposal whose context has no sooner deadline.
	proposeTimeout = 2500 * time.Millisecond
	// retryDelay is the wait before a call is tried again.
	retryDelay = 100 * time.Millisecond
)

// Propose makes a change and tells what became of it. It returns an error only
// when ctx has already ended. Sending the same proposal again is safe.
func (m *Manager) Propose(ctx context.Context, p Proposal) (Outcome, error) {
	if err := ctx.Err(); err != nil {
		return Outcome{}, err
	}
	if !namePattern.MatchString(string(p.Change)) {
		fault := Fault{Path: "change", Value: string(p.Change), Allowed: aName}
		return Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: []Fault{fault}}, nil
	}
	if faults := everRefused(&p); len(faults) > 0 {
		return Outcome{Kind: OutcomeRefused, Change: p.Change, Faults: faults}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome := m.negotiate(ctx, &attempt{proposal: &p, window: m.options.Window, current: m.document.Load(), archived: m.knownArchived()})
	if outcome.Kind == OutcomeAccepted {
		m.archiveSoon()
	}
	m.options.Logger.Info("change proposed", "change", p.Change, "outcome", outcome.Kind, "version", outcome.Version)
	return outcome, nil
}

// negotiate goes from step to step until there is an outcome or no time left.
func (m *Manager) negotiate(ctx context.Context, a *attempt) Outcome {
	reason := "no answer in time"
	for ctx.Err() == nil {
		s := a.next()
		if s.outcome != nil {
			return *s.outcome
		}
		err := m.take(ctx, a, s)
		if err != nil {
			reason = err.Error()
		}
		if err != nil || s.reread {
			wait.For(ctx, retryDelay)
		}
	}
	return a.giveUp(reason)
}

// take takes one step; an error is one to try again after.
func (m *Manager) take(ctx context.Context, a *attempt, s step) error {
	switch {
	case s.reread:
		d, err := m.readCurrent(ctx)
		if err == nil {
			a.learned(d)
		}
		return err
	case s.search:
		at := a.current.Site.Version
		b, err := m.archive.read(ctx, bucketOf(a.proposal.Change))
		if err == nil {
			a.searched(at, b)
		}
		return err
	case s.archive != nil:
		err := m.keep(ctx, *s.archive)
		if err == nil {
			a.keptInArchive(s.archive.Change)
		}
		return err
	}
	return m.write(ctx, a, s)
}

// write makes the conditional write of a step; an error is one to try again after.
func (m *Manager) write(ctx context.Context, a *attempt, s step) error {
	object, err := encodeDocument(s.next, s.base)
	if err != nil {
		return err
	}
	var stored objects.Object
	if s.base == 0 {
		stored, err = m.options.Store.Create(ctx, object)
	} else {
		stored, err = m.options.Store.Update(ctx, object)
	}
	answer, told := readAnswer(stored, err)
	if told != nil {
		m.options.Relay.Put(*told)
	}
	a.wrote(answer, s.base, documentOf(told))
	if told != nil {
		return nil
	}
	return err
}

// readAnswer sorts the store's answer to a write; told is the object it carried, or nil.
func readAnswer(stored objects.Object, err error) (answer writeAnswer, told *objects.Object) {
	if err == nil {
		return writeTaken, &stored
	}
	switch objects.KindOf(err) {
	case objects.KindConflict:
		if current, ok := objects.CurrentOf(err); ok {
			return writeBeaten, &current
		}
		return writeBeaten, nil
	case objects.KindRefused, objects.KindUnavailable, objects.KindNotFound:
		return writeUnsent, nil
	case objects.KindUnknown, objects.KindCompacted, objects.KindSilent:
		return writeLost, nil
	}
	return writeLost, nil
}

// documentOf decodes an object; nil when there is none or it can't be read.
func documentOf(object *objects.Object) *Document {
	if object == nil {
		return nil
	}
	d, err := decodeDocument(*object)
	if err != nil {
		return nil
	}
	return d
}
