package node

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// noticeWait is how long one call waits for a reclaim notice.
	noticeWait = time.Second
	// noticePause is the time between two calls after one failed.
	noticePause = 500 * time.Millisecond
)

// notices learns from the cloud's reclaim notices which hosts are leaving. Marks
// are spread to all nodes by whoever learns first.
type notices struct {
	node    *Node
	leaving *fleet.Leaving
	cloud   *cloud.Client
	last    uint64
	// own yields when this node's host was marked.
	own chan struct{}
}

func newNotices(n *Node, leaving *fleet.Leaving) *notices {
	out := &notices{node: n, leaving: leaving, own: make(chan struct{}, 1)}
	leaving.OnMark(out.heardMark)
	platform := n.settings.Platform
	if platform.CloudURL != "" {
		out.cloud = cloud.NewClient(rest.NewClient(rest.Options{BaseURL: platform.CloudURL, Token: platform.Token}))
	}
	return out
}

// watch learns until ctx ends. Only the few watchers of each failure domain
// wait at the cloud; the others hear of marks by gossip, and ask the cloud once
// when their own host is marked.
func (w *notices) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.node.control.relay.Watching() {
			w.waitForOwnMark(ctx)
			continue
		}
		if !w.readNotices(ctx, noticeWait) {
			wait.For(ctx, noticePause)
		}
	}
}

// waitForOwnMark waits a while for the mark of this node's host.
func (w *notices) waitForOwnMark(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(noticeWait):
	case <-w.own:
		w.readNotices(ctx, 0)
	}
}

// heardMark is told of every mark that comes into force here.
func (w *notices) heardMark(mark fleet.Mark) {
	if mark.Subject.Host != w.node.settings.Host || mark.Cleared {
		return
	}
	select {
	case w.own <- struct{}{}:
	default:
	}
}

// readNotices waits a while for notices; it is false when there is nothing to wait at.
func (w *notices) readNotices(ctx context.Context, wait time.Duration) bool {
	if w.cloud == nil {
		return false
	}
	heard, err := w.cloud.Notices(ctx, w.last, wait)
	if err != nil {
		return false
	}
	for _, notice := range heard {
		w.last = max(w.last, notice.Sequence)
		at := time.UnixMilli(notice.ReclaimAtMs)
		if time.Since(at) > fleet.MarkLife {
			continue
		}
		w.mark(notice)
		if notice.Host == w.node.settings.Host {
			w.node.requestReclaim(time.Until(at))
		}
	}
	return true
}

func (w *notices) mark(notice cloud.Notice) {
	if err := w.leaving.MarkReclaim(notice.Host, time.Now(), time.UnixMilli(notice.ReclaimAtMs)); err != nil {
		w.node.logger.Warn("a reclaim notice could not be told to other nodes", "host", string(notice.Host), "error", err)
	}
}
