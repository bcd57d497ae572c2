package server

import (
	"time"

	"mangoledge.example/mangoledge/internal/poison"
)

var (
	// sharedParts bounds the prompt parts in a message to other nodes. An entry takes 23 bytes and
	// 20 for each crash.
	sharedParts = poison.SampleSize{Guilty: 8, Repeated: 6, Newest: 4, Random: 6, Crashes: 8, MaxAge: sharedMaxAge}
	// checkpointParts is the same bound for a checkpoint, where an entry takes 90 bytes and 55 for
	// each crash.
	checkpointParts = poison.SampleSize{Guilty: 48, Repeated: 32, Newest: 32, Crashes: 4}
)

// CrashingPart returns the index of the first part of the content that crashes upstreams.
func (g *contentGuard) CrashingPart(content poison.Content) (index int, found bool) {
	return g.suspects.Guilty(content.Parts)
}

// Survived records that an upstream wrote on the content, sent at sentAt, for some time.
func (g *contentGuard) Survived(content poison.Content, sentAt time.Time) {
	g.suspects.RecordSuccess(sentAt, content.Parts)
}

// partsToShare returns the evidence against prompt parts for other nodes.
func (g *contentGuard) partsToShare() []poison.Suspect { return g.sampleParts(sharedParts) }

// partsToCheckpoint returns the evidence against prompt parts for the checkpoint.
func (g *contentGuard) partsToCheckpoint() []poison.Suspect { return g.sampleParts(checkpointParts) }

func (g *contentGuard) sampleParts(size poison.SampleSize) []poison.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Sample(g.now(), size, g.random)
}

// mergeParts adds evidence against prompt parts of another node or of a checkpoint.
func (g *contentGuard) mergeParts(entries []poison.Suspect) {
	if len(entries) > 0 {
		g.suspects.Merge(entries)
	}
}

// logGuiltyParts logs the prompt parts that were found or are no longer guilty since the last call.
func (g *contentGuard) logGuiltyParts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	guilty := g.suspects.GuiltyParts()
	for part, crashes := range guilty {
		if _, logged := g.loggedParts[part]; !logged {
			g.logger.Warn("prompt part crashes upstreams, requests with it are refused", "part", part.String(), "crashes", crashes)
		}
	}
	for part := range g.loggedParts {
		if _, still := guilty[part]; !still {
			g.logger.Info("requests with the prompt part may run again", "part", part.String())
		}
	}
	g.loggedParts = guilty
}

// countGuiltyParts returns the number of prompt parts that are refused.
func (g *contentGuard) countGuiltyParts() int64 { return int64(len(g.suspects.GuiltyParts())) }

// countSuspectedParts returns the number of prompt parts with crashes that count.
func (g *contentGuard) countSuspectedParts() int64 { return int64(g.suspects.Len()) }
