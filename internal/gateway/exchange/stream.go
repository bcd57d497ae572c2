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

// stream passes events on as they come. Of an event that is not whole nothing is
// passed on, so that the stream can go on elsewhere behind the last whole one.
func (a *attempt) stream(ctx context.Context, response *httpconn.Response) step {
	reader := newEventReader(response.Body)
	for {
		event, id, err := reader.next()
		if err != nil && !errors.Is(err, io.EOF) {
			response.Abort()
			return a.lost(ctx, err)
		}
		if len(event) > 0 {
			a.firstEvent(response)
			if a.forward(event, id, reader.more() && err == nil) != nil {
				response.Abort()
				return a.clientLost(ctx)
			}
		}
		if err != nil {
			return a.streamEnded(response)
		}
	}
}

// firstEvent writes the head of the answer before the first event.
func (a *attempt) firstEvent(response *httpconn.Response) {
	a.ticket.Begun()
	if a.stall != nil {
		a.stall.Reset(a.stallTimeout())
	}
	a.countBegun(a.options.WallClock())
	if a.client.begun {
		return
	}
	a.options.Wire.CopyAnswerHeader(a.client.w.Header(), response.Header)
	a.client.begin(response.Status)
	a.options.Metrics.FirstEvent(a.exchange, time.Since(a.request.Received))
}

// forward writes an event and, unless more bytes are there already, sends it.
func (a *attempt) forward(event []byte, id string, more bool) error {
	if err := a.client.write(event); err != nil {
		return err
	}
	if id != "" {
		a.lastEvent = id
	}
	if more {
		return nil
	}
	return a.client.flush()
}

// streamEnded ends a stream that is complete.
func (a *attempt) streamEnded(response *httpconn.Response) step {
	response.Finish()
	if !a.client.begun {
		// A stream without an event is complete as well.
		a.firstEvent(response)
	}
	a.ticket.End(balance.Answered)
	a.options.Poison.Succeeded(a.content)
	a.options.Metrics.Answered(a.exchange, response.Status)
	a.log("answered", "upstream", a.ticket.Upstream.ID, "status", response.Status, "sends", a.sends, "last_event", a.lastEvent)
	return stepDone
}

// clientLost ends a stream whose client takes no more.
func (a *attempt) clientLost(ctx context.Context) step {
	a.ticket.End(balance.Abandoned)
	a.options.Metrics.ClientGone(a.exchange)
	a.log("client gone", "upstream", a.ticket.Upstream.ID, "last_event", a.lastEvent, "time_over", errors.Is(context.Cause(ctx), errTimeOver))
	panic(http.ErrAbortHandler)
}
