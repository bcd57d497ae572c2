package server

import (
	"context"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

const (
	// clientTTLFactor is how many times directoryTTL some clients cache a directory response.
	clientTTLFactor = 3
	// directoryDrainTime is how long new connections are still served after Stop is called, until
	// every client has asked a directory again.
	directoryDrainTime = clientTTLFactor*directoryTTL + 300*time.Millisecond
	// clientSwitchTime is the time after Stop is called in which most clients have asked a directory
	// again. Requests that come later must not outlast the process.
	clientSwitchTime = clientTTLFactor*directoryTTL - 500*time.Millisecond
	// killSafetyMargin is the time between the process's own exit and the end of its grace period,
	// at which it would be killed.
	killSafetyMargin = 600 * time.Millisecond
	// stopPollInterval is how often a stopping process checks whether all requests have finished.
	stopPollInterval = 20 * time.Millisecond
)

// Stop shuts the gateway down gracefully: it leaves the directory at once, serves requests that
// still arrive and can end in time until clients have switched to other nodes, and returns once no
// request is in progress or the grace period is nearly over.
func (g *Gateway) Stop() {
	stopStarted := time.Now()
	deadline := stopStarted.Add(g.settings.Bounds.Grace - killSafetyMargin)
	g.shutdown.Store(&exchange.Shutdown{MovedAt: stopStarted.Add(clientSwitchTime), Ends: deadline})
	g.leaving.Store(true)
	g.exchange.SendNow()
	g.logger.Info("stopping", "active", g.activeRequests.Load())
	g.stopLeaderTasks()
	time.Sleep(min(directoryDrainTime, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	g.closeListeners(ctx)
	for g.activeRequests.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
	}
	g.logger.Info("stopped", "active", g.activeRequests.Load(), "took", time.Since(stopStarted))
}

// closeListeners closes the listeners, and each connection once it is idle.
func (g *Gateway) closeListeners(ctx context.Context) {
	var all sync.WaitGroup
	for _, server := range g.servers {
		all.Go(func() { _ = server.Shutdown(ctx) }) // connections still open after the grace period end with the process
	}
	all.Wait()
}

// Close closes the listeners and all connections at once, even with requests in progress, and the
// socket for messages of other nodes.
func (g *Gateway) Close() {
	g.exchange.Close()
	for _, server := range g.servers {
		_ = server.Close() // open connections end with it
	}
}

// Reload applies the settings that may change while the process runs: the seeds.
func (g *Gateway) Reload(next *site.Settings) {
	g.seeds.Store(&next.Seeds)
}
