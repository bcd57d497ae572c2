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
	// checkpointKind and checkpointName identify the stored object that holds the checkpoint.
	checkpointKind = objects.Kind("mangoledge-quota")
	checkpointName = "spent"
	// checkpointInterval is how often the leader writes a checkpoint.
	checkpointInterval = 500 * time.Millisecond
	// maxCheckpointAge is how old the last checkpoint can be when its writer dies.
	maxCheckpointAge = checkpointInterval + leaderTaskInterval
	// peerDiscoveryTime is how long a process listens until it has heard from all live nodes.
	peerDiscoveryTime = 3 * peers.BaseInterval
	// restoreRetryPause is the pause after a failed attempt to read the checkpoint.
	restoreRetryPause = 200 * time.Millisecond
	// quotaRestoreTimeout is how long after its start a process may still restore the quota from a
	// checkpoint.
	quotaRestoreTimeout = 4 * time.Second
)

// checkpoint is the state that is kept when all processes of the site have ended.
type checkpoint struct {
	quota.Checkpoint
	// StoreEra is the store's era in which the checkpoint was written.
	StoreEra uint64 `json:"storeEra,omitempty"`
	// Crashes are the request contents that crashed upstreams.
	Crashes []poison.Entry `json:"crashes,omitempty"`
	// Suspects is the evidence against parts of prompts that may crash upstreams.
	Suspects []poison.Suspect `json:"suspects,omitempty"`
}

// writeCheckpoint writes the checkpoint if this node is the leader, has finished reading the
// checkpoint of earlier processes, and the next one is due.
func (g *Gateway) writeCheckpoint(ctx context.Context) error {
	if !g.restored.Load() || !g.isLeader() || time.Since(g.lastCheckpointAt) < checkpointInterval {
		return nil
	}
	g.lastCheckpointAt = time.Now()
	spec, err := json.Marshal(checkpoint{
		Checkpoint: g.quota.Checkpoint(time.Now()),
		StoreEra:   g.store.Era(),
		Crashes:    g.contentGuard.entriesToCheckpoint(),
		Suspects:   g.contentGuard.partsToCheckpoint(),
	})
	if err != nil {
		return errors.Wrap(err, "checkpoint")
	}
	// A write without a version replaces whatever is stored. If an older write
	// arrives after a newer one, it stays until the next checkpoint.
	return g.checkpointWriter.write(ctx, objects.Object{Kind: checkpointKind, Metadata: objects.Metadata{Name: checkpointName}, Spec: spec})
}

// restore loads the checkpoint that earlier processes wrote, once it can be read. Until then this
// process writes none, because that would overwrite state that it does not know yet.
func (g *Gateway) restore(ctx context.Context) {
	began := time.Now()
	c, found := g.readCheckpoint(ctx)
	if ctx.Err() != nil {
		return
	}
	g.contentGuard.merge(c.Crashes)
	g.contentGuard.mergeParts(c.Suspects)
	g.restored.Store(true)
	if found {
		g.logger.Info("crashes of contents restored", "contents", len(c.Crashes), "prompt_parts", len(c.Suspects), "took", time.Since(began))
	}
	if !g.waitJoined(ctx, began.Add(quotaRestoreTimeout)) {
		return
	}
	for node := range g.nodeRegistry.Others() {
		g.quota.AddPeer(node)
	}
	switch {
	case found:
		g.restoreQuota(ctx, c)
	case g.isFirstStart():
		wait.For(ctx, peerDiscoveryTime) // other processes may be starting at the same time
		g.quota.StartWithoutCheckpoint()
		g.logger.Info("quota accounting started")
	default:
		g.quota.StartAfterUnknownSpending()
		g.logger.Warn("no checkpoint of earlier processes; quotas are refused until a window has passed")
	}
}

// restoreQuota starts from the spending in a checkpoint and first assumes that workspaces spent at
// the maximum rate since then. Once the live nodes have been heard from and no other process ran
// between the checkpoint and them, it narrows the assumption to the time before the first of them
// started: spending at the maximum rate until the next checkpoint was due, and at the even rate
// after that, in case no checkpoint could be written.
func (g *Gateway) restoreQuota(ctx context.Context, c checkpoint) {
	age := time.Since(c.At)
	g.quota.Restore(c.Checkpoint, age, quota.Gap{AtMaxRate: age})
	g.logger.Info("quota restored", "age", age)
	wait.For(ctx, peerDiscoveryTime)
	if age <= maxCheckpointAge || !g.noProcessRanSince(c.At) {
		return
	}
	if era := g.store.Era(); era != c.StoreEra {
		// The records of later processes, and a later checkpoint, may have been lost.
		g.logger.Info("the store came back from an older copy since the checkpoint", "era", era, "before", c.StoreEra)
		return
	}
	unknown := quota.Gap{AtMaxRate: maxCheckpointAge, AtEvenRate: max(0, g.earliestStart().Sub(c.At)-maxCheckpointAge)}
	g.quota.Restore(c.Checkpoint, time.Since(c.At), unknown)
	g.logger.Info("no process ran between the checkpoint and the live processes", "age", age, "paced", unknown.AtEvenRate)
}

// earliestStart returns when the first of the live processes started.
func (g *Gateway) earliestStart() time.Time {
	first := g.startedAt
	for _, p := range g.peerTable.Alive() {
		if at, err := startTime(p.Incarnation); err == nil && at.Before(first) {
			first = at
		}
	}
	return first
}

// waitJoined waits until this process is registered and has listed the other nodes, and reports
// whether that happened by the deadline. A process that spends quota must be visible to later ones
// and must know how many nodes it shares with.
func (g *Gateway) waitJoined(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-g.nodeRegistry.Joined():
		return true
	case <-ctx.Done():
		return false
	}
}

// noProcessRanSince reports whether no process ran between a time and the start of the live
// processes. For each live node, its previous process must be known and have started before that
// time; nodes that are not heard from must have started before it too.
func (g *Gateway) noProcessRanSince(at time.Time) bool {
	alive := g.peerTable.Alive()
	if own := (incarnationPair{g.incarnation, g.nodeRegistry.PreviousIncarnation()}); len(alive) == 0 || !own.brackets(at) {
		return false
	}
	unheardNodes := g.nodeRegistry.Others()
	for _, p := range alive {
		delete(unheardNodes, p.Node)
		pair := incarnationPair{p.Incarnation, g.nodeRegistry.PreviousIncarnationOf(p.Node, p.Incarnation, p.PreviousIncarnation)}
		if !pair.brackets(at) {
			return false
		}
	}
	for _, record := range unheardNodes {
		if !startedBefore(record.Incarnation, at) {
			return false
		}
	}
	return true
}

// incarnationPair holds the incarnations of a node's live process and of the one before it.
type incarnationPair struct{ current, previous string }

// brackets reports whether a time lies after the start of the previous process and not after the
// start of the current one.
func (p incarnationPair) brackets(at time.Time) bool {
	return startedBefore(p.previous, at) && !startedBefore(p.current, at)
}

// startedBefore reports whether an incarnation is known to have started before a time.
func startedBefore(incarnation string, at time.Time) bool {
	started, err := startTime(incarnation)
	return err == nil && started.Before(at)
}

// startTime returns when an incarnation started, by its host's clock.
func startTime(incarnation string) (time.Time, error) {
	started, err := strconv.ParseInt(incarnation, 16, 64)
	return time.Unix(0, started), err
}

// isFirstStart reports whether no process ran before this one: the settings say that the whole
// system starts for the first time, and the store has no earlier process of this node. The
// settings alone are not enough: a restart with unchanged settings would renew the budgets that
// all nodes share. A store that once came back from an older copy may have lost the record.
func (g *Gateway) isFirstStart() bool {
	return g.settings.FirstStart && g.nodeRegistry.IsFirstIncarnation() && g.store.Era() <= 1
}

// readCheckpoint reads the checkpoint; found is false if there is none or it cannot be decoded.
func (g *Gateway) readCheckpoint(ctx context.Context) (c checkpoint, found bool) {
	for ctx.Err() == nil {
		object, err := g.store.Get(ctx, checkpointKind, checkpointName)
		if err == nil {
			err = json.Unmarshal(object.Spec, &c)
			if err != nil {
				g.logger.Error("ignoring undecodable checkpoint", "error", err)
			}
			return c, err == nil
		}
		g.logger.Warn("checkpoint not read", "error", err)
		if objects.KindOf(err) == objects.KindNotFound {
			break
		}
		wait.For(ctx, restoreRetryPause)
	}
	return checkpoint{}, false
}
