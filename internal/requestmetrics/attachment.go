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
func (f *countedAttachment) Follow(ctx context.Context, emit dispatch.Emit) error {
	f.dispatcher.followed.Inc(1)
	defer f.dispatcher.followed.Dec(1)
	return f.Attachment.Follow(ctx, func(event dispatch.Event) error {
		f.countEvent(&event)
		return emit(event)
	})
}

func (f *countedAttachment) countEvent(event *dispatch.Event) {
	switch event.Kind {
	case dispatch.EventToken:
		f.countToken()
	case dispatch.EventDone:
		f.dispatcher.answered.Inc(1)
		if !f.submittedAt.IsZero() {
			f.dispatcher.answerTime.Observe(time.Since(f.submittedAt))
		}
	case dispatch.EventMoved:
		f.dispatcher.moved.Inc(1)
	case dispatch.EventError:
		if event.Failure != nil {
			f.dispatcher.countRefusal(event.Failure)
		}
	case dispatch.EventAccepted, dispatch.EventHeartbeat:
	}
}

// countToken counts a token and observes the time since the one before it, or since the submission. It
// observes no time for the first token of a resumed stream.
func (f *countedAttachment) countToken() {
	now := time.Now()
	f.dispatcher.tokens.Inc(1)
	switch {
	case !f.lastTokenAt.IsZero():
		f.dispatcher.tokenInterval.Observe(now.Sub(f.lastTokenAt))
	case !f.submittedAt.IsZero():
		f.dispatcher.firstTokenTime.Observe(now.Sub(f.submittedAt))
	}
	f.lastTokenAt = now
}
