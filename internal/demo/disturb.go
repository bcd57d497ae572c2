package demo

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/standin/engine"
)

// disturb reclaims an upstream and an entry host and stops a node by plan.
func (d *Demo) disturb(ctx context.Context, done *sync.WaitGroup) {
	at := func(after time.Duration, f func()) {
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
	at(reclaimUpstreamAt, d.reclaimUpstream)
	at(reclaimNodeAt, d.reclaimNode)
	at(stopNodeAt, d.stopNode)
}

func (d *Demo) reclaimUpstream() {
	victim := d.engines[0]
	d.say("  reclaiming the host of %s with %s of notice", victim.Name, reclaimNotice)
	if err := d.bed.ReclaimHost(victim.Upstream.Host, reclaimNotice); err != nil {
		d.say("  reclaim: %v", err)
	}
	if err := d.bed.Fault(victim.Process, engine.Faults{ReclaimNoticeMs: reclaimNotice.Milliseconds()}); err != nil {
		d.say("  reclaim: %v", err)
	}
}

func (d *Demo) reclaimNode() {
	victim := d.nodes[1]
	d.say("  reclaiming the entry host of %s with %s of notice", victim.Name, reclaimNotice)
	if err := d.bed.ReclaimHost(victim.Settings.Host, reclaimNotice); err != nil {
		d.say("  reclaim: %v", err)
	}
	time.Sleep(reclaimNotice)
	victim.Kill()
}

func (d *Demo) stopNode() {
	victim := d.nodes[2]
	d.say("  stopping %s by plan", victim.Name)
	_ = victim.Signal(syscall.SIGTERM)
	select {
	case <-victim.Done():
	case <-time.After(stopLimit):
		d.say("  %s did not stop within %s", victim.Name, stopLimit)
	}
}
