package node

import (
	"time"
)

const (
	// firstRivalPause is the first pause of a process that another of its node's name has replaced.
	firstRivalPause = 5 * time.Second
	// longestRivalPause is the pause that the later ones grow to.
	longestRivalPause = 10 * time.Minute
	// rivalForgotten is after how long a life the pauses begin anew. It is longer than
	// two of the longest pauses, which is how long each of two rivals lives at most.
	rivalForgotten = 30 * time.Minute
)

// Rivalry holds back a process that was replaced by a live process of the same
// node name. Each of the two would otherwise come back at once under a newer
// incarnation and replace the other, for ever. It is not safe for concurrent use.
type Rivalry struct {
	pause time.Duration
}

// Next returns how long to wait before the next incarnation, after one that lived
// for lived and was replaced by a live process.
func (r *Rivalry) Next(lived time.Duration) time.Duration {
	if lived >= rivalForgotten {
		r.pause = 0
	}
	r.pause = min(max(2*r.pause, firstRivalPause), longestRivalPause)
	return r.pause
}

// PauseAfterDeath returns how long the process waits before the incarnation after
// n, which was declared dead: no time unless a live process has its name.
func (n *Node) PauseAfterDeath(rivalry *Rivalry) time.Duration {
	rival, found := n.members.ReplacedBy()
	if !found {
		return 0
	}
	pause := rivalry.Next(time.Since(n.born))
	n.logger.Error("another process has this node's name; this one waits before it starts again",
		"pause", pause, "other_incarnation", string(rival.Incarnation), "other_peer_address", rival.PeerAddress)
	return pause
}
