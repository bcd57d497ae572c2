package callerclient

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/sse"
)

// errSilent is returned when a stream sent nothing, not even a heartbeat, for too long.
var errSilent = errors.New("the stream went silent")

// eventReader reads server-sent events and gives up on a stream that went silent.
type eventReader struct {
	events  *sse.Reader
	silence time.Duration
	watch   *time.Timer
	silent  context.Context
}

// newEventReader reads from body; cancel must make reads of body fail.
func newEventReader(body io.Reader, silence time.Duration, cancel context.CancelFunc) *eventReader {
	silent, markSilent := context.WithCancel(context.Background())
	return &eventReader{
		events:  sse.NewReader(body),
		silence: silence,
		silent:  silent,
		watch: time.AfterFunc(silence, func() {
			markSilent()
			cancel()
		}),
	}
}

// stop ends the watch for silence.
func (r *eventReader) stop() {
	r.watch.Stop()
}

// next returns the next event; comments are heartbeats and only prove the stream alive.
func (r *eventReader) next() (sse.Event, error) {
	for {
		out, err := r.events.Next()
		if r.silent.Err() != nil {
			return sse.Event{}, errSilent
		}
		if errors.Is(err, io.EOF) {
			return sse.Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return sse.Event{}, err
		}
		r.watch.Reset(r.silence)
		if !out.Comment {
			return out, nil
		}
	}
}
