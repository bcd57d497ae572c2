package callerclient

import (
	"bufio"
	"context"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// errSilent is returned when a stream sent nothing, not even a heartbeat, for too long.
var errSilent = errors.New("the stream went silent")

// event is one server-sent event.
type event struct {
	name string
	data string
}

// eventReader reads server-sent events and gives up on a stream that went silent.
type eventReader struct {
	lines   *bufio.Scanner
	silence time.Duration
	watch   *time.Timer
	silent  context.Context
}

// newEventReader reads from body; cancel must make reads of body fail.
func newEventReader(body io.Reader, silence time.Duration, cancel context.CancelFunc) *eventReader {
	silent, markSilent := context.WithCancel(context.Background())
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{
		lines:   lines,
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

// next returns the next event; comment lines are heartbeats and only prove the stream alive.
func (r *eventReader) next() (event, error) {
	var out event
	var data []string
	for r.lines.Scan() {
		r.watch.Reset(r.silence)
		line := r.lines.Text()
		if line == "" {
			if out.name == "" && data == nil {
				continue
			}
			out.data = strings.Join(data, "\n")
			return out, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			out.name = value
		case "data":
			data = append(data, value)
		}
	}
	return event{}, r.failure()
}

func (r *eventReader) failure() error {
	if r.silent.Err() != nil {
		return errSilent
	}
	if err := r.lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
