package server

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// kindQuota and quotaName name the object that outlives all processes.
	kindQuota = objects.Kind("mangoledge-quota")
	quotaName = "spent"
	// checkpointInterval is how often the holder of the duties writes a checkpoint.
	checkpointInterval = 500 * time.Millisecond
	// lastCheckpoint is how old the last checkpoint can be when its writer dies.
	lastCheckpoint = checkpointInterval + dutyInterval
	// hearTime is how long a process listens until it has heard all live nodes.
	hearTime = 3 * peers.BaseInterval
	// restoreRetry is the pause after a checkpoint that could not be read.
	restoreRetry = 200 * time.Millisecond
	// quotaRestoreTime is until when after the start a checkpoint says something of the quota.
	quotaRestoreTime = 4 * time.Second
)

// checkpoint is what outlives all processes of the site.
type checkpoint struct {
	quota.Checkpoint
	// Crashes are the contents that crashed upstreams.
	Crashes []poison.Entry `json:"crashes,omitempty"`
}

// writeCheckpoint writes what must outlive all processes, when it is due.
func (g *Gateway) writeCheckpoint(ctx context.Context) error {
	if !g.restored.Load() || !g.holdsDuty() || time.Since(g.checkpointed) < checkpointInterval {
		return nil
	}
	g.checkpointed = time.Now()
	spec, err := json.Marshal(checkpoint{Checkpoint: g.quota.Checkpoint(time.Now()), Crashes: g.poison.lasting()})
	if err != nil {
		return errors.Wrap(err, "checkpoint")
	}
	// Without a version the write replaces whatever is there; an older one that
	// overtakes a newer one stands until the next is due.
	return g.checkpoints.write(ctx, objects.Object{Kind: kindQuota, Metadata: objects.Metadata{Name: quotaName}, Spec: spec})
}

// restore begins with the checkpoint of the processes before this one, once it can be
// read. Until then this process writes none: it would wipe out what it does not know.
func (g *Gateway) restore(ctx context.Context) {
	began := time.Now()
	c, found := g.readCheckpoint(ctx)
	if ctx.Err() != nil {
		return
	}
	g.poison.hear(c.Crashes)
	g.restored.Store(true)
	if found {
		g.logger.Info("crashes of contents restored", "contents", len(c.Crashes), "took", time.Since(began))
	}
	if !g.joinedBy(ctx, began.Add(quotaRestoreTime)) {
		return
	}
	for node := range g.nodes.Others() {
		g.quota.Know(node)
	}
	switch {
	case found:
		g.restoreQuota(ctx, c.Checkpoint)
	case g.first():
		wait.For(ctx, hearTime) // others start beside this one
		g.quota.Begin()
		g.logger.Info("quota begun")
	}
}

// restoreQuota begins with what a checkpoint says was spent. Once the live nodes are
// heard and none lived between it and them, nobody spent after the first of them started;
// before, until the next checkpoint was due, or longer if none could be written.
func (g *Gateway) restoreQuota(ctx context.Context, c quota.Checkpoint) {
	age := time.Since(c.At)
	g.quota.Restore(c, age, quota.Unknown{Any: age})
	g.logger.Info("quota restored", "age", age)
	wait.For(ctx, hearTime)
	if age <= lastCheckpoint || !g.noneLivedSince(c.At) {
		return
	}
	unknown := quota.Unknown{Any: lastCheckpoint, Paced: max(0, g.firstStart().Sub(c.At)-lastCheckpoint)}
	g.quota.Restore(c, time.Since(c.At), unknown)
	g.logger.Info("no node lived on after the quota was written down", "age", age, "paced", unknown.Paced)
}

// firstStart returns when the first of the processes that live started.
func (g *Gateway) firstStart() time.Time {
	first := g.started
	for _, p := range g.table.Alive() {
		if at, err := startOf(p.Incarnation); err == nil && at.Before(first) {
			first = at
		}
	}
	return first
}

// joinedBy waits until this process is registered and has listed the others, and reports
// whether it had by a time: one that spends must be seen by those after it, and know with
// how many it shares.
func (g *Gateway) joinedBy(ctx context.Context, last time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	select {
	case <-g.nodes.Joined():
		return true
	case <-ctx.Done():
		return false
	}
}

// noneLivedSince reports whether no process lived between a time and the start of those
// that live now: of each node, the process before is known and started before that time,
// and those that are not heard started before it as well.
func (g *Gateway) noneLivedSince(at time.Time) bool {
	alive := g.table.Alive()
	if own := (lifetimes{g.incarnation, g.nodes.Previous()}); len(alive) == 0 || !own.span(at) {
		return false
	}
	unheard := g.nodes.Others()
	for _, p := range alive {
		delete(unheard, p.Node)
		l := lifetimes{p.Incarnation, g.nodes.PreviousOf(p.Node, p.Incarnation, p.Previous)}
		if !l.span(at) {
			return false
		}
	}
	for _, record := range unheard {
		if !startedBefore(record.Incarnation, at) {
			return false
		}
	}
	return true
}

// lifetimes are the incarnations of the process of a node that lives and of the one before.
type lifetimes struct{ current, previous string }

// span reports whether a time lies after the start of the one and before that of the other.
func (l lifetimes) span(at time.Time) bool {
	return startedBefore(l.previous, at) && !startedBefore(l.current, at)
}

// startedBefore reports whether an incarnation is known to have started before a time.
func startedBefore(incarnation string, at time.Time) bool {
	started, err := startOf(incarnation)
	return err == nil && started.Before(at)
}

// startOf returns when an incarnation started, by its host's time of day.
func startOf(incarnation string) (time.Time, error) {
	started, err := strconv.ParseInt(incarnation, 16, 64)
	return time.Unix(0, started), err
}

// first reports whether no process was before this one: the settings say that the whole
// system starts for the first time, and the store knows of no earlier process of this
// node. Settings that a restart finds unchanged would renew whatever bounds all nodes.
func (g *Gateway) first() bool { return g.settings.FirstStart && g.nodes.First() }

// readCheckpoint reads the checkpoint; found is false when there is none.
func (g *Gateway) readCheckpoint(ctx context.Context) (c checkpoint, found bool) {
	for ctx.Err() == nil {
		object, err := g.store.Get(ctx, kindQuota, quotaName)
		if err == nil {
			err = json.Unmarshal(object.Spec, &c)
			if err != nil {
				g.logger.Error("checkpoint ignored", "error", err)
			}
			return c, err == nil
		}
		g.logger.Warn("checkpoint not read", "error", err)
		if objects.KindOf(err) == objects.KindNotFound {
			break
		}
		wait.For(ctx, restoreRetry)
	}
	return checkpoint{}, false
}
