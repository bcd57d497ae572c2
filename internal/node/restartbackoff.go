package node

import (
	"time"
)

const (
	// minConflictPause is the first pause of a process that was replaced by another with the same node name.
	minConflictPause = 5 * time.Second
	// maxConflictPause is the maximum that later pauses grow to.
	maxConflictPause = 10 * time.Minute
	// conflictResetUptime is the uptime of an incarnation after which the pauses start
	// again at the minimum. It is longer than two maximum pauses, which is the longest
	// time that either of two conflicting processes can run.
	conflictResetUptime = 30 * time.Minute
)

// RestartBackoff computes the restart delays of a process that was replaced by a live process
// with the same node name. Without a delay, each of the two would restart at once with
// a newer incarnation and replace the other, endlessly. It is not safe for concurrent use.
type RestartBackoff struct {
	pause time.Duration
}

// NextPause returns the time to wait before the next incarnation starts, after one that was
// replaced with the given uptime.
func (r *RestartBackoff) NextPause(uptime time.Duration) time.Duration {
	if uptime >= conflictResetUptime {
		r.pause = 0
	}
	r.pause = min(max(2*r.pause, minConflictPause), maxConflictPause)
	return r.pause
}

// RestartPause returns the time to wait before the process restarts after n, which
// was declared dead. It is zero unless a live process has the same node name.
func (n *Node) RestartPause(backoff *RestartBackoff) time.Duration {
	rival, found := n.members.ReplacedBy()
	if !found {
		return 0
	}
	pause := backoff.NextPause(time.Since(n.createdAt))
	n.logger.Error("another process has the same node name; this process waits before it restarts",
		"pause", pause, "other_incarnation", string(rival.Incarnation), "other_peer_address", rival.PeerAddress)
	return pause
}
