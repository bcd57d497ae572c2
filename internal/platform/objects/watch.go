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
	// BookmarkInterval is the interval of bookmarks that a watch requests from the store.
	BookmarkInterval = time.Second
	// DefaultWatchIdleTimeout is how long a watch may go without an event or bookmark before it ends.
	DefaultWatchIdleTimeout = 2500 * time.Millisecond
)

// errWatchIdle is the cancellation cause of a watch that received nothing within
// WatchIdleTimeout.
var errWatchIdle = errors.New("no event or bookmark from the watch within its time limit")

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, since Version, handle func(Event) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchCall(kind, since)
	if err := c.options.Budget.wait(ctx); err != nil {
		return watch.noResponseError(false, err)
	}
	idleTimer := time.AfterFunc(c.options.WatchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	resp, _, err := c.sender.Send(ctx, watch.method, watch.path(), nil)
	if err != nil {
		return watchError(ctx, watch, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes))
		return responseError(watch, resp.StatusCode, data)
	}
	stopCharge := c.startWatchCharge(ctx)
	defer stopCharge()
	decoder := json.NewDecoder(resp.Body)
	for {
		var event Event
		if err := decoder.Decode(&event); err != nil {
			return watchError(ctx, watch, err)
		}
		idleTimer.Reset(c.options.WatchIdleTimeout)
		if event.Type == EventError {
			return eventError(watch, event)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

func newWatchCall(kind Kind, since Version) call {
	query := url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"bookmarkMs":          {strconv.FormatInt(BookmarkInterval.Milliseconds(), 10)},
		"resourceVersion":     {strconv.FormatUint(uint64(since), 10)},
	}
	return call{verb: "watch", method: http.MethodGet, kind: kind, query: query}
}

// startWatchCharge charges the budget for an open watch until the returned function is called.
func (c *Client) startWatchCharge(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(watchChargeInterval)
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

// watchError returns the error of a watch that ended without an error response or error event.
func watchError(ctx context.Context, watch call, err error) error {
	if errors.Is(context.Cause(ctx), errWatchIdle) {
		return &Error{Kind: KindWatchIdle, Call: watch.String(), Cause: errWatchIdle}
	}
	return watch.noResponseError(true, err)
}

// eventError converts an event of type EventError to an error.
func eventError(watch call, event Event) error {
	var status Status
	_ = json.Unmarshal(event.Object.Spec, &status) // an unreadable status is code 0, which reads as unavailable
	if status.Code == 0 {
		status.Code = http.StatusServiceUnavailable
	}
	return responseError(watch, status.Code, event.Object.Spec)
}
