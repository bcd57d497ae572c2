package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/sse"
	"mangoledge.example/mangoledge/internal/verdict"
)

// remoteAttachment follows a request held by another node.
type remoteAttachment struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	// reserve reserves memory for a long answer before it is read.
	reserve func(ctx context.Context) error
}

// Close closes the connection to the other node.
func (a *remoteAttachment) Close() {
	a.cancel()
	_ = a.body.Close()
}

// Follow relays the other node's events. If that node is lost, it emits EventMoved: the
// caller resumes, which finds the new holder or makes one.
func (a *remoteAttachment) Follow(ctx context.Context, emit Emit) error {
	defer a.Close()
	stop := context.AfterFunc(ctx, a.cancel)
	defer stop()
	idle := time.AfterFunc(forwardIdleTimeout, a.cancel)
	defer idle.Stop()
	reader := sse.NewReader(a.body)
	reader.BeforeLong(ingress.ShortAnswer, func() error {
		idle.Stop()
		defer idle.Reset(forwardIdleTimeout)
		return a.reserve(ctx)
	})
	for {
		raw, err := reader.Next()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return emit(Event{Kind: EventMoved})
		}
		idle.Reset(forwardIdleTimeout)
		event, err := decodeEvent(raw)
		if err != nil {
			return err
		}
		if err := emit(event); err != nil {
			return err
		}
		if event.Kind.Last() {
			return nil
		}
	}
}

// decodeEvent decodes an event written by writeEvent.
func decodeEvent(raw sse.Event) (Event, error) {
	if raw.Comment {
		return Event{Kind: EventHeartbeat}, nil
	}
	var event Event
	if err := json.Unmarshal(raw.Data, &event); err != nil {
		return Event{}, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "another node sent an event that can't be read: %v", err)
	}
	event.Kind = EventKind(raw.Name)
	return event, nil
}

// writeEvent writes an event for another node.
func writeEvent(w io.Writer, event Event) error {
	if event.Kind == EventHeartbeat {
		return sse.WriteHeartbeat(w)
	}
	return sse.Write(w, string(event.Kind), event)
}
