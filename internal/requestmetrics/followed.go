package requestmetrics

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
)

// followed is an attachment whose events are counted. It belongs to one goroutine.
type followed struct {
	dispatch.Attachment
	counts *Dispatcher
	// submitted is when the request came; zero for a caller that came back.
	submitted time.Time
	lastToken time.Time
}

// Follow emits and counts the events.
func (f *followed) Follow(ctx context.Context, emit dispatch.Emit) error {
	f.counts.following.Inc(1)
	defer f.counts.following.Dec(1)
	return f.Attachment.Follow(ctx, func(event dispatch.Event) error {
		f.count(&event)
		return emit(event)
	})
}

func (f *followed) count(event *dispatch.Event) {
	switch event.Kind {
	case dispatch.EventToken:
		f.token()
	case dispatch.EventDone:
		f.counts.answered.Inc(1)
		if !f.submitted.IsZero() {
			f.counts.whole.Observe(time.Since(f.submitted))
		}
	case dispatch.EventMoved:
		f.counts.moved.Inc(1)
	case dispatch.EventError:
		if event.Failure != nil {
			f.counts.refused(event.Failure)
		}
	case dispatch.EventAccepted, dispatch.EventHeartbeat:
	}
}

func (f *followed) token() {
	now := time.Now()
	f.counts.tokens.Inc(1)
	switch {
	case !f.lastToken.IsZero():
		f.counts.tokenGap.Observe(now.Sub(f.lastToken))
	case !f.submitted.IsZero():
		f.counts.firstToken.Observe(now.Sub(f.submitted))
	}
	f.lastToken = now
}
