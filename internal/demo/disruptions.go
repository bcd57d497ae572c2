package demo

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/standin/engine"
)

// scheduleDisruptions starts goroutines that reclaim an upstream's host, reclaim a node's
// host and stop a node, each at its time. done counts them.
func (d *Demo) scheduleDisruptions(ctx context.Context, done *sync.WaitGroup) {
	runAfter := func(after time.Duration, f func()) {
		done.Add(1)
		go func() {
			defer done.Done()
			select {
			case <-ctx.Done():
			case <-time.After(after):
				f()
			}
		}()
	}
	runAfter(reclaimUpstreamAt, d.reclaimUpstream)
	runAfter(reclaimNodeAt, d.reclaimNode)
	runAfter(stopNodeAt, d.stopNode)
}

// reclaimUpstream reclaims the host of the first engine.
func (d *Demo) reclaimUpstream() {
	target := d.engines[0]
	d.printf("  reclaiming the host of %s with %s of notice", target.Name, reclaimNotice)
	if err := d.bed.ReclaimHost(target.Upstream.Host, reclaimNotice); err != nil {
		d.printf("  reclaim: %v", err)
	}
	if err := d.bed.InjectFaults(target.Process, engine.Faults{ReclaimNoticeMs: reclaimNotice.Milliseconds()}); err != nil {
		d.printf("  reclaim: %v", err)
	}
}

// reclaimNode reclaims the host of the second node, and kills the node when the notice expires.
func (d *Demo) reclaimNode() {
	target := d.nodes[1]
	d.printf("  reclaiming the entry host of %s with %s of notice", target.Name, reclaimNotice)
	if err := d.bed.ReclaimHost(target.Settings.Host, reclaimNotice); err != nil {
		d.printf("  reclaim: %v", err)
	}
	time.Sleep(reclaimNotice)
	target.Kill()
}

// stopNode makes the third node stop in an orderly way.
func (d *Demo) stopNode() {
	target := d.nodes[2]
	d.printf("  stopping %s by plan", target.Name)
	_ = target.Signal(syscall.SIGTERM)
	select {
	case <-target.Done():
	case <-time.After(stopTimeout):
		d.printf("  %s did not stop within %s", target.Name, stopTimeout)
	}
}
