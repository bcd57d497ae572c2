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

// movedRetryAfter is the retry delay sent to a caller whose request moved to another node.
const movedRetryAfter = 10 * time.Millisecond

// errStreamClosed makes Attachment.Follow return after the stream was closed.
var errStreamClosed = errors.New("event stream closed by its reader")

// eventStream is the body of a streamed answer. Each Read returns at most one event, so
// that the generated encoder writes it immediately and flushWriter flushes it.
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
				return errStreamClosed
			}
			return nil
		})
	}
	s := &eventStream{attachment: attachment}
	s.next, s.stop = iter.Pull(iter.Seq[dispatch.Event](events))
	return s
}

// Read reads the rest of the current event, or the next one.
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

// Close stops following the request and releases its attachment.
func (s *eventStream) Close() error {
	s.stop()
	s.attachment.Close()
	return nil
}

// acceptedEvent is the data of `accepted`. Offset is the position of the first token that
// follows.
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

// writeEvent writes event as a server-sent event of the caller API; an event without data
// for callers is written as a heartbeat.
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
		return sse.Write(w, name, movedEvent{RetryAfterMs: movedRetryAfter.Milliseconds()})
	case dispatch.EventError:
		refusal := toRefusal(event.Failure)
		return sse.Write(w, name, &refusal)
	case dispatch.EventHeartbeat:
	}
	return sse.WriteHeartbeat(w)
}
