package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/sse"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Stream reads the events of a completion.
type Stream struct {
	body        io.ReadCloser
	reader      *sse.Reader
	ctx         context.Context //nolint:containedctx // its cause is the reason why reading ended
	cancel      context.CancelCauseFunc
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

// newStream returns a Stream that reads resp until it ends, is closed, or sends nothing
// for longer than timeout.
func newStream(ctx context.Context, resp *http.Response, cancel context.CancelCauseFunc, timeout time.Duration) *Stream {
	s := &Stream{body: resp.Body, reader: sse.NewReader(resp.Body), ctx: ctx, cancel: cancel, idleTimeout: timeout}
	s.idleTimer = time.AfterFunc(timeout, func() { cancel(errNoData) })
	return s
}

// CodeSilent is the code of a stream that sent nothing within its idle timeout. The
// dispatcher does not pass it on to callers.
const CodeSilent verdict.Code = "upstream_silent"

// Next returns the next chunk and skips comments. An error means that the stream failed
// after the completion ran at least in part.
func (s *Stream) Next() (Chunk, error) {
	for {
		event, err := s.reader.Next()
		if err != nil {
			return Chunk{}, s.readError(err)
		}
		s.idleTimer.Reset(s.idleTimeout)
		if event.Comment {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return Chunk{}, verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine sent an event that is no chunk: %v", err)
		}
		return chunk, nil
	}
}

// readError returns the error for a failed read: CodeSilent after an idle timeout, and
// CodeUpstreamFailed otherwise.
func (s *Stream) readError(err error) *verdict.Error {
	if errors.Is(context.Cause(s.ctx), errNoData) {
		return verdict.New(verdict.Ran, CodeSilent, "the engine sent nothing for %s", s.idleTimeout)
	}
	return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine's stream broke: %v", err)
}

// Close stops reading. The engine continues until the stream is cancelled.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}
