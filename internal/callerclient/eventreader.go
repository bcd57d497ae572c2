package callerclient

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/sse"
)

// errSilenceTimeout is returned when a node sent neither a response header, nor an event
// or heartbeat of a stream, within Options.SilenceTimeout.
var errSilenceTimeout = errors.New("the stream sent nothing for too long")

// eventReader reads server-sent events and fails when the stream sends nothing for silenceTimeout.
type eventReader struct {
	events         *sse.Reader
	silenceTimeout time.Duration
	timer          *time.Timer
	timedOut       context.Context
}

// newEventReader returns a reader of body; cancel must make reads of body fail.
func newEventReader(body io.Reader, silenceTimeout time.Duration, cancel context.CancelFunc) *eventReader {
	timedOut, markTimedOut := context.WithCancel(context.Background())
	return &eventReader{
		events:         sse.NewReader(body),
		silenceTimeout: silenceTimeout,
		timedOut:       timedOut,
		timer: time.AfterFunc(silenceTimeout, func() {
			markTimedOut()
			cancel()
		}),
	}
}

// stop stops the timer.
func (r *eventReader) stop() {
	r.timer.Stop()
}

// next returns the next event. It skips comments, which are heartbeats. The end of the
// stream is an io.ErrUnexpectedEOF, because an event must be the last one.
func (r *eventReader) next() (sse.Event, error) {
	for {
		out, err := r.events.Next()
		if r.timedOut.Err() != nil {
			return sse.Event{}, errSilenceTimeout
		}
		if errors.Is(err, io.EOF) {
			return sse.Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return sse.Event{}, err
		}
		r.timer.Reset(r.silenceTimeout)
		if !out.Comment {
			return out, nil
		}
	}
}
