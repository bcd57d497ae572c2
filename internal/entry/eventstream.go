package entry

import (
	"bytes"
	"context"
	"io"
	"iter"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/sse"
)

// comeBackAtOnce is the shortest time after which a caller is told to come back.
const comeBackAtOnce = 10 * time.Millisecond

// errStopped ends the following of a stream that nobody reads any more.
var errStopped = errors.New("the stream is read no more")

// eventStream is the body of a streamed answer. Each Read returns one event at
// most, which the generated encoder writes at once and flushWriter flushes.
type eventStream struct {
	attachment dispatch.Attachment
	next       func() (dispatch.Event, bool)
	stop       func()
	buffer     bytes.Buffer
}

func newEventStream(ctx context.Context, attachment dispatch.Attachment) *eventStream {
	events := func(yield func(dispatch.Event) bool) {
		_ = attachment.Follow(ctx, func(event dispatch.Event) error {
			if !yield(event) {
				return errStopped
			}
			return nil
		})
	}
	s := &eventStream{attachment: attachment}
	s.next, s.stop = iter.Pull(iter.Seq[dispatch.Event](events))
	return s
}

// Read reads the next event, or the rest of the one before.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.buffer.Len() == 0 {
		event, ok := s.next()
		if !ok {
			return 0, io.EOF
		}
		if err := writeEvent(&s.buffer, event); err != nil {
			return 0, err
		}
	}
	return s.buffer.Read(p)
}

// Close ends the following.
func (s *eventStream) Close() error {
	s.stop()
	s.attachment.Close()
	return nil
}

// acceptedEvent is the data of `accepted`: the tokens that follow begin at Offset.
type acceptedEvent struct {
	ID         string `json:"id"`
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
}

// tokenEvent is the data of `token`.
type tokenEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// doneEvent is the data of `done`.
type doneEvent struct {
	Tokens int    `json:"tokens"`
	Moves  int    `json:"moves"`
	Output string `json:"output,omitempty"`
}

// movedEvent is the data of `moved`.
type movedEvent struct {
	RetryAfterMs int64 `json:"retryAfterMs"`
}

// writeEvent writes an event as callers read it.
func writeEvent(w io.Writer, event dispatch.Event) error {
	name := string(event.Kind)
	switch event.Kind {
	case dispatch.EventAccepted:
		return sse.Write(w, name, acceptedEvent{ID: event.ID, Generation: string(event.Generation), Offset: event.Offset})
	case dispatch.EventToken:
		return sse.Write(w, name, tokenEvent{Offset: event.Offset, Text: event.Text})
	case dispatch.EventDone:
		return sse.Write(w, name, doneEvent{Tokens: event.Tokens, Moves: event.Moves, Output: event.Output})
	case dispatch.EventMoved:
		return sse.Write(w, name, movedEvent{RetryAfterMs: comeBackAtOnce.Milliseconds()})
	case dispatch.EventError:
		refusal := refusalOf(event.Failure)
		return sse.Write(w, name, &refusal)
	case dispatch.EventHeartbeat:
	}
	return sse.WriteHeartbeat(w)
}
