package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
)

// forwardStream forwards events as they arrive. An incomplete event is not forwarded, so that
// another upstream can resume the stream after the last complete one.
func (a *attempt) forwardStream(ctx context.Context, response *httpconn.Response) sendResult {
	reader := newEventReader(response.Body)
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) {
			return a.finishStream(ctx, response)
		}
		if err != nil {
			response.Abort()
			a.flushEvents()
			return a.handleLost(ctx, err)
		}
		if err := a.prepareEvent(response); err != nil {
			response.Abort()
			return a.handleLost(ctx, err)
		}
		if a.forwardEvent(event, id, reader.hasBuffered()) != nil {
			response.Abort()
			return a.abortClient(ctx)
		}
	}
}

// prepareEvent is called before each event is forwarded. It resets the stall timer and, before
// the first event, counts the request and writes the response header.
func (a *attempt) prepareEvent(response *httpconn.Response) error {
	a.ticket.RecordFirstEvent()
	a.recordSurvival()
	if a.stallTimer != nil {
		a.stallTimer.Reset(a.stallTimeout())
	}
	a.countUsage(a.options.WallClock())
	if a.client.headerWritten {
		return nil
	}
	if err := a.client.takeFraming(response.Unframed()); err != nil {
		return err
	}
	a.options.Wire.CopyResponseHeader(a.client.w.Header(), response.Header)
	a.client.writeHeader(response.Status)
	a.options.Metrics.FirstEvent(a.exchange, time.Since(a.request.Received))
	return nil
}

// recordSurvival records, once, that the upstream did not crash at the beginning of the stream.
func (a *attempt) recordSurvival() {
	switch {
	case a.firstEventAt.IsZero():
		a.firstEventAt = time.Now()
	case !a.survived && time.Since(a.firstEventAt) > maxCrashDelay:
		a.survived = true
		a.options.Poison.Survived(a.content, a.sentAt)
	}
}

// forwardEvent writes an event, and flushes it unless more bytes are already buffered.
func (a *attempt) forwardEvent(event []byte, id string, more bool) error {
	if err := a.client.write(event); err != nil {
		return err
	}
	if id != "" {
		a.lastEventID = id
	}
	if more {
		return nil
	}
	return a.client.flush()
}

// flushEvents sends events that were written but not flushed yet, because more bytes had arrived.
func (a *attempt) flushEvents() {
	if a.client.headerWritten {
		_ = a.client.flush() // a client that is gone is noticed at the next write
	}
}

// finishStream ends a stream that has ended at the upstream.
func (a *attempt) finishStream(ctx context.Context, response *httpconn.Response) sendResult {
	response.Finish()
	a.flushEvents()
	if a.client.headerWritten && response.Unframed() && !a.client.unframed {
		return a.handleLost(ctx, errMaybeIncomplete)
	}
	a.ticket.End(balance.Answered) // the slot at the upstream is free while the end is confirmed
	if err := a.confirmComplete(ctx, response); err != nil {
		return a.handleLost(ctx, err)
	}
	if !a.client.headerWritten {
		// A stream without events is complete as well.
		if err := a.prepareEvent(response); err != nil {
			return a.handleLost(ctx, err)
		}
	}
	_ = a.client.finish() // a client that is gone has missed nothing that it can still get
	if !response.Unframed() {
		a.options.Poison.Succeeded(a.content, a.sentAt)
	}
	a.options.Durations.Add(a.route.Name, time.Since(a.request.Received))
	a.options.Metrics.ResponseForwarded(a.exchange, response.Status)
	a.options.Metrics.ResponseEnded(a.framing, "complete")
	a.log("answered", "upstream", a.ticket.Upstream.ID, "status", response.Status, "sends", a.sends, "framing", a.framing.String(), "last_event", a.lastEventID)
	return resultDone
}

// abortClient aborts a response whose client can no longer be written to.
func (a *attempt) abortClient(ctx context.Context) sendResult {
	a.ticket.End(balance.Abandoned)
	a.options.Metrics.ClientGone(a.exchange)
	a.log("client gone", "upstream", a.ticket.Upstream.ID, "last_event", a.lastEventID, "time_over", errors.Is(context.Cause(ctx), errDeadlineExceeded))
	panic(http.ErrAbortHandler)
}
