package dispatch_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/standin/chain"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
)

const (
	// reclaimedStreams is the number of streams on the reclaimed upstream.
	reclaimedStreams = 8
	// reclaimedAfter is the number of tokens that each stream has before the reclaim notice.
	reclaimedAfter = 10
	// reclaimTokenInterval is the time between two tokens of an engine.
	reclaimTokenInterval = 10 * time.Millisecond
	// reclaimPrefill is the time to compute one token of a prompt.
	reclaimPrefill = 200 * time.Microsecond
	// reclaimKVBytes is in bytes per token, reclaimExportRate in bytes per second.
	reclaimKVBytes    = 330_000
	reclaimExportRate = 3e9
)

// reclaimEngine returns the options of an engine whose prefills and exports take time.
func reclaimEngine(id string) standinengine.Options {
	return standinengine.Options{
		ID: id, Slots: 2 * reclaimedStreams, TokenInterval: reclaimTokenInterval, PrefillPerToken: reclaimPrefill,
		KVBytesPerToken: reclaimKVBytes, ExportBytesPerSecond: reclaimExportRate, Seed: 7,
	}
}

// kill simulates the loss of a server's host: the listener closes, then all connections
// break. In the other order a stream could attach again in between.
func kill(server *httptest.Server) {
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// words returns a prompt of n words, different for each value of which. A word has 4
// bytes, as callers' prompts have per token.
func words(n, which int) string {
	return strings.Repeat("abc ", n-1) + string(rune('a'+which)) + "bc "
}

// reclaimed holds the measurements of one stream.
type reclaimed struct {
	// gap is the longest time between two of its tokens.
	gap    time.Duration
	tokens int
}

// followTimed reads a stream to its end, calls begun at token number reclaimedAfter, and
// checks that the answer is complete.
func followTimed(t testing.TB, a dispatch.Attachment, input string, begun func()) reclaimed {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var out reclaimed
	var tokens []string
	var last time.Time
	ended := dispatch.EventAccepted
	_ = a.Follow(ctx, func(e dispatch.Event) error {
		ended = e.Kind
		if e.Kind != dispatch.EventToken {
			return nil
		}
		if len(tokens) != e.Offset {
			t.Errorf("got token %d, want token %d", e.Offset, len(tokens))
		}
		tokens = append(tokens, e.Text)
		now := time.Now()
		if !last.IsZero() {
			out.gap = max(out.gap, now.Sub(last))
		}
		last = now
		if len(tokens) == reclaimedAfter {
			begun()
		}
		return nil
	})
	if ended != dispatch.EventDone {
		t.Errorf("the last event is %s, want done", ended)
	}
	if err := chain.Verify(input, tokens); err != nil {
		t.Error(err)
	}
	out.tokens = len(tokens)
	return out
}

// reclaim runs streams with the given prompt length and number of tokens on an upstream
// that is reclaimed with notice. It returns the measurements of each stream and the
// statistics of the other engine.
func reclaim(t testing.TB, promptWords, tokens int, notice time.Duration) ([]reclaimed, standinengine.Stats) {
	site := newFakeSite(t)
	home, wit := site.addNode("home"), site.addNode("wit")
	first := site.addEngineWithOptions(reclaimEngine("e1"))
	second := site.addEngineWithOptions(reclaimEngine("e2"))
	out := make([]reclaimed, reclaimedStreams)
	var begun, done sync.WaitGroup
	begun.Add(reclaimedStreams)
	for i := range reclaimedStreams {
		s := spec(home, wit, tokens)
		s.Input = words(promptWords, i)
		a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: s})
		require.NoError(t, err)
		done.Go(func() { out[i] = followTimed(t, a, s.Input, begun.Done) })
	}
	begun.Wait()
	site.reclaim("e1", notice)
	taken := time.AfterFunc(notice, func() { kill(first) })
	defer taken.Stop()
	done.Wait()
	return out, statsOf(t, second.URL)
}

// BenchmarkReclaim measures the recomputed tokens and the longest gap between two tokens
// of a stream, for eight streams on an upstream that is reclaimed.
func BenchmarkReclaim(b *testing.B) {
	for _, c := range []struct {
		name   string
		prompt int
		tokens int
		notice time.Duration
	}{
		{"little-left", 2000, 80, 2 * time.Second},
		{"time-for-exports", 2000, 400, 3 * time.Second},
		{"time-for-some", 4000, 400, 1500 * time.Millisecond},
		{"time-for-none", 4000, 400, 500 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			var recomputed int
			var worst, sum time.Duration
			for range b.N {
				streams, target := reclaim(b, c.prompt, c.tokens, c.notice)
				recomputed += target.Recomputed
				for _, s := range streams {
					worst = max(worst, s.gap)
					sum += s.gap
				}
			}
			b.ReportMetric(float64(recomputed)/float64(b.N), "recomputed-tokens")
			b.ReportMetric(float64(worst.Milliseconds()), "worst-gap-ms")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N*reclaimedStreams), "mean-gap-ms")
		})
	}
}
