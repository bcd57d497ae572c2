package observe_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/observe"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
)

// TestOwnerLearnsCachedPrefixFromCacheEvents caches a prefix on one of four engines without
// the owner's knowledge; the owner can learn of it only from the engine's delayed events.
func TestOwnerLearnsCachedPrefixFromCacheEvents(t *testing.T) {
	var upstreams []fleet.Upstream
	for _, id := range []ident.Upstream{"e1", "e2", "e3", "e4"} {
		e, err := standinengine.New(standinengine.Options{ID: string(id), Slots: 8, CacheBlocks: 64, Seed: 1})
		require.NoError(t, err)
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		upstreams = append(upstreams, fleet.Upstream{ID: id, URL: server.URL, FailureDomain: "d1", Models: []ident.Model{"m"}, Slots: 8, State: fleet.StateReady})
	}
	prompt := strings.Repeat("a long shared prefix ", 400)
	warmPrefixCache(t, upstreams[2].URL, prompt)
	require.Eventually(t, func() bool {
		events, err := engine.NewClient().ReportCacheEvents(t.Context(), upstreams[2].URL, 0)
		return err == nil && len(events.Events) > 0
	}, 20*time.Second, 20*time.Millisecond)
	// Without the events each of the eight ledgers would pick one of the four engines at random.
	for seed := range uint64(8) {
		require.Equal(t, ident.Upstream("e3"), chosenUpstream(t, seed, upstreams, prompt))
	}
}

// chosenUpstream returns the upstream that a new owner selects for a prompt after one pass.
func chosenUpstream(t *testing.T, seed uint64, upstreams []fleet.Upstream, prompt string) ident.Upstream {
	t.Helper()
	self := membership.Member{Node: "n1", FailureDomain: "d1"}
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.CostPolicy{Weights: routing.WeightsFor(1)}, 0, rand.New(rand.NewPCG(seed, 1)))
	ledger.Update(time.Now(), upstreams, []membership.Member{self})
	require.Len(t, ledger.Owned(), len(upstreams))
	observe.New(ledger, engine.NewClient()).Poll(t.Context())
	reply := ledger.Reserve(time.Now(), &owner.ReserveArgs{
		ID: owner.ReservationID{Holder: 1, Serial: 1}, Model: "m",
		Blocks: routing.Blocks(nil, "m", "", prompt), PromptTokens: len(prompt) / 4, MaxTokens: 10,
	})
	require.True(t, reply.Granted)
	return reply.Upstream
}

// warmPrefixCache runs a completion of one token, so that the engine caches the prompt.
func warmPrefixCache(t *testing.T, base, prompt string) {
	t.Helper()
	body := `{"request_id":"r","model":"m","prompt":"` + prompt + `","max_tokens":1}`
	resp, err := http.Post(base+"/v1/completions", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}
