package server

import "time"

// reportsLostBefore returns the time before which usage reports in the store may have been lost; zero
// if none was.
func (g *Gateway) reportsLostBefore() time.Time {
	since := g.storeEraSince.Load()
	if since == 0 {
		return time.Time{}
	}
	return time.Unix(0, since)
}

// handleStoreEra is called when the store is found in a later era: what this node wrote there in the
// last seconds may be gone.
func (g *Gateway) handleStoreEra(before, now uint64) {
	if now > 1 {
		g.storeEraSince.Store(time.Now().UnixNano())
	}
	if before == 0 {
		return // the first answer of the store
	}
	g.leaderLease.LoseEra()
	g.nodeRegistry.RegisterAgain()
	g.logger.Warn("store came back from an older copy", "era_before", before, "era", now,
		"config", g.configuration.Version(), "upstreams", g.upstreams.StoreVersion().Revision(), "written_again", "node record, checkpoint")
	g.exchange.SendNow()
}
