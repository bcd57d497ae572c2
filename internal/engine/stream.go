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

// Stream is a running completion.
type Stream struct {
	body   io.ReadCloser
	reader *sse.Reader
	ctx    context.Context //nolint:containedctx // its cause tells why reading ended
	cancel context.CancelCauseFunc
	idle   *time.Timer
	limit  time.Duration
}

// newStream reads resp until it ends, is closed, or is silent for longer than limit.
func newStream(ctx context.Context, resp *http.Response, cancel context.CancelCauseFunc, limit time.Duration) *Stream {
	s := &Stream{body: resp.Body, reader: sse.NewReader(resp.Body), ctx: ctx, cancel: cancel, limit: limit}
	s.idle = time.AfterFunc(limit, func() { cancel(errSilent) })
	return s
}

// CodeSilent is the code of a stream that sent nothing for too long. The
// dispatcher keeps it from callers.
const CodeSilent verdict.Code = "upstream_silent"

// Next returns the next chunk. An error means that the stream has broken; the
// completion has run in part.
func (s *Stream) Next() (Chunk, error) {
	for {
		event, err := s.reader.Next()
		if err != nil {
			return Chunk{}, s.broken(err)
		}
		s.idle.Reset(s.limit)
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

// broken tells a silent stream from one whose connection broke.
func (s *Stream) broken(err error) *verdict.Error {
	if errors.Is(context.Cause(s.ctx), errSilent) {
		return verdict.New(verdict.Ran, CodeSilent, "the engine sent nothing for %s", s.limit)
	}
	return verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the engine's stream broke: %v", err)
}

// Close ends reading; the engine goes on until it is cancelled.
func (s *Stream) Close() {
	s.idle.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}
