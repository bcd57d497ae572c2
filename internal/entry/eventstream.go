package entry

import (
	"context"
	"io"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/sse"
)

// comeBackAtOnce is the shortest time after which a caller is told to come back.
const comeBackAtOnce = 10 * time.Millisecond

// eventStream is the body of a streamed answer. It writes each event with one
// Write, which the response writer flushes.
type eventStream struct {
	ctx        context.Context //nolint:containedctx // the generated encoder hands none over
	attachment dispatch.Attachment
}

func newEventStream(ctx context.Context, attachment dispatch.Attachment) *eventStream {
	return &eventStream{ctx: ctx, attachment: attachment}
}

// Read is never used: io.Copy prefers WriteTo.
func (s *eventStream) Read([]byte) (int, error) {
	return 0, io.EOF
}

// WriteTo writes the events until the last one.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	counter := &countingWriter{w: w}
	err := s.attachment.Follow(s.ctx, func(event dispatch.Event) error {
		return writeEvent(counter, event)
	})
	return counter.n, err
}

// Close ends the following.
func (s *eventStream) Close() error {
	s.attachment.Close()
	return nil
}

type countingWriter struct {
	w io.Writer
	n int64
}

// Write writes p and counts it.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
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
