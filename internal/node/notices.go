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
	// noticeWait is the time for which one call waits for a reclaim notice.
	noticeWait = time.Second
	// noticeRetryDelay is the time to wait after a failed call.
	noticeRetryDelay = 500 * time.Millisecond
)

// notices reads the cloud's reclaim notices and marks the hosts as leaving. The first
// node that reads a notice gossips the mark to all nodes.
type notices struct {
	node         *Node
	leaving      *fleet.LeavingMarks
	cloud        *cloud.Client
	lastSequence uint64
	// ownHostMarked receives a value when this node's host was marked.
	ownHostMarked chan struct{}
}

func newNotices(n *Node, leaving *fleet.LeavingMarks) *notices {
	out := &notices{node: n, leaving: leaving, ownHostMarked: make(chan struct{}, 1)}
	leaving.OnMark(out.onMark)
	platform := n.settings.Platform
	if platform.CloudURL != "" {
		out.cloud = cloud.NewClient(rest.NewClient(rest.Options{BaseURL: platform.CloudURL, Token: platform.Token}))
	}
	return out
}

// watch reads notices until ctx ends. Only the few nodes of each failure domain that
// watch the store poll the cloud; the others receive marks by gossip, and read the
// notices once when their own host is marked.
func (w *notices) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.node.control.relay.Watching() {
			w.waitForOwnMark(ctx)
			continue
		}
		if !w.readNotices(ctx, noticeWait) {
			wait.For(ctx, noticeRetryDelay)
		}
	}
}

// waitForOwnMark waits up to noticeWait for the mark of this node's host, and then
// reads the notices.
func (w *notices) waitForOwnMark(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(noticeWait):
	case <-w.ownHostMarked:
		w.readNotices(ctx, 0)
	}
}

// onMark is called with every mark that comes into force on this node.
func (w *notices) onMark(mark fleet.Mark) {
	if mark.Subject.Host != w.node.settings.Host || mark.Cleared {
		return
	}
	select {
	case w.ownHostMarked <- struct{}{}:
	default:
	}
}

// readNotices reads the notices, waiting up to wait for the first. It returns false
// when no cloud is configured or the call failed.
func (w *notices) readNotices(ctx context.Context, wait time.Duration) bool {
	if w.cloud == nil {
		return false
	}
	received, err := w.cloud.Notices(ctx, w.lastSequence, wait)
	if err != nil {
		return false
	}
	for _, notice := range received {
		w.lastSequence = max(w.lastSequence, notice.Sequence)
		at := time.UnixMilli(notice.ReclaimAtMs)
		if time.Since(at) > fleet.MarkLifetime {
			continue
		}
		w.markReclaimed(notice)
		if notice.Host == w.node.settings.Host {
			w.node.requestReclaim(time.Until(at))
		}
	}
	return true
}

// markReclaimed marks the host of a notice as leaving.
func (w *notices) markReclaimed(notice cloud.Notice) {
	if err := w.leaving.MarkReclaim(notice.Host, time.Now(), time.UnixMilli(notice.ReclaimAtMs)); err != nil {
		w.node.logger.Warn("failed to gossip a reclaim notice", "host", string(notice.Host), "error", err)
	}
}
