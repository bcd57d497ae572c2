package requestmetrics

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
)

// countedAttachment is an attachment whose events are counted. It is not safe for concurrent use.
type countedAttachment struct {
	dispatch.Attachment
	dispatcher *Dispatcher
	// submittedAt is when the request was submitted; zero for a resumed stream.
	submittedAt time.Time
	// lastTokenAt is when the last token was emitted; zero before the first.
	lastTokenAt time.Time
}

// Follow counts the events and passes them on to emit.
func (a *countedAttachment) Follow(ctx context.Context, emit dispatch.Emit) error {
	a.dispatcher.followed.Inc(1)
	defer a.dispatcher.followed.Dec(1)
	return a.Attachment.Follow(ctx, func(event dispatch.Event) error {
		a.countEvent(&event)
		return emit(event)
	})
}

func (a *countedAttachment) countEvent(event *dispatch.Event) {
	switch event.Kind {
	case dispatch.EventToken:
		a.countToken()
	case dispatch.EventDone:
		a.dispatcher.answered.Inc(1)
		if !a.submittedAt.IsZero() {
			a.dispatcher.answerTime.Observe(time.Since(a.submittedAt))
		}
	case dispatch.EventMoved:
		a.dispatcher.moved.Inc(1)
	case dispatch.EventError:
		if event.Failure != nil {
			a.dispatcher.countRefusal(event.Failure)
		}
	case dispatch.EventAccepted, dispatch.EventHeartbeat:
	}
}

// countToken counts a token and observes the time since the one before it, or since the submission. It
// observes no time for the first token of a resumed stream.
func (a *countedAttachment) countToken() {
	now := time.Now()
	a.dispatcher.tokens.Inc(1)
	switch {
	case !a.lastTokenAt.IsZero():
		a.dispatcher.tokenInterval.Observe(now.Sub(a.lastTokenAt))
	case !a.submittedAt.IsZero():
		a.dispatcher.firstTokenTime.Observe(now.Sub(a.submittedAt))
	}
	a.lastTokenAt = now
}
