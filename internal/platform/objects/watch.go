package objects

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// BookmarkInterval is how often the store is asked to prove a watch alive.
	BookmarkInterval = time.Second
	// DefaultWatchSilence is after how long without a sign of life a watch ends.
	DefaultWatchSilence = 2500 * time.Millisecond
)

// errSilent is the cause of a watch's context that went silent.
var errSilent = errors.New("the watch proved nothing for too long")

// Watch hands every event after since to handle until the watch ends.
func (c *Client) Watch(ctx context.Context, kind Kind, since Version, handle func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := watchCall(kind, since)
	if err := c.options.Budget.take(ctx); err != nil {
		return watch.failed(false, err)
	}
	silence := time.AfterFunc(c.options.WatchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	resp, _, err := c.sender.Send(ctx, watch.method, watch.path(), nil)
	if err != nil {
		return watchEnd(ctx, watch, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes))
		return statusError(watch, resp.StatusCode, data)
	}
	stopCharge := c.chargeWhile(ctx)
	defer stopCharge()
	decoder := json.NewDecoder(resp.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return watchEnd(ctx, watch, err)
		}
		silence.Reset(c.options.WatchSilence)
		if event.Type == EventError {
			return eventError(watch, event)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

func watchCall(kind Kind, since Version) call {
	query := url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"bookmarkMs":          {strconv.FormatInt(BookmarkInterval.Milliseconds(), 10)},
		"resourceVersion":     {strconv.FormatUint(uint64(since), 10)},
	}
	return call{verb: "watch", method: http.MethodGet, kind: kind, query: query}
}

// chargeWhile charges the budget for a waiting watch until the returned function is called.
func (c *Client) chargeWhile(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(watchCharge)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				c.options.Budget.charge(now)
			}
		}
	}()
	return cancel
}

// watchEnd makes the error of a watch that ended without the store's word.
func watchEnd(ctx context.Context, watch call, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return &Error{Kind: KindSilent, Call: watch.String(), Cause: errSilent}
	}
	return watch.failed(true, err)
}

// eventError makes the error of an event of type EventError.
func eventError(watch call, event Event) error {
	var status Status
	_ = json.Unmarshal(event.Object.Spec, &status) // an unreadable status is code 0, which reads as unavailable
	if status.Code == 0 {
		status.Code = http.StatusServiceUnavailable
	}
	return statusError(watch, status.Code, event.Object.Spec)
}
