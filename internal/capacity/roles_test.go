package capacity

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// rolesOf returns the roles that the engines of a model's upstreams were ordered to take.
func (s *testSite) rolesOf(model ident.Model, engines *busyEngines) []ident.Role {
	var out []ident.Role
	for _, u := range s.registry.Upstreams() {
		if u.Serves(model) {
			out = append(out, engines.roles[u.URL[len("http://"):]])
		}
	}
	return out
}

func TestEnginesAreOrderedToTakeTheirRole(t *testing.T) {
	s, r, engines := scarceSite(t, true)
	require.Empty(t, engines.roles, "an order was sent for a model without a role")
	s.site.Models[0].Role = "prefill"
	offers, err := s.cloud.Offers(t.Context())
	require.NoError(t, err)
	query := r.pendingCloudQuery(&s.site)
	plan, err := r.makePlan(t.Context(), &s.site, offers, &query)
	require.NoError(t, err)
	asked := 0
	for _, l := range plan.Ledgers {
		for _, i := range l.Intents {
			if i.Role != i.OrderedRole {
				asked++
			}
		}
	}
	require.Equal(t, 1, asked, "not exactly one ready replica changes its role at a time")
	s.site.Models[1].Role = "decode"
	s.passes(r, 8, s.requireWithinMaxHosts)
	require.Equal(t, []ident.Role{"prefill"}, s.rolesOf("low", engines))
	require.Equal(t, []ident.Role{"decode", "decode", "decode"}, s.rolesOf("high", engines), "a host that was taken over does not have the role of its new model")
	s.site.Models[1].Role = ""
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, []ident.Role{"", "", ""}, s.rolesOf("high", engines))
}

func TestEnginesThatIgnoreFencingGetNoRoleOrderAndThatIsRecorded(t *testing.T) {
	s, r, engines := scarceSite(t, false)
	s.site.Models[0].Role = "prefill"
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Empty(t, engines.roles)
	entries := r.options.Journal.Lookup(explain.Subject{Kind: explain.KindModel, ID: "low"})
	found := 0
	for _, entry := range entries {
		if entry.Decision.Name == roleNotOrdered.Name {
			found++
		}
	}
	require.Equal(t, 1, found, "recorded more than once or not at all")
}

func TestRoleOrderWithOldFencingNumberIsRefused(t *testing.T) {
	standIn, err := engine.New(engine.Options{ID: "e", Slots: 1})
	require.NoError(t, err)
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	var engines HTTPEngines
	require.NoError(t, engines.SetRole(t.Context(), address, RoleOrder{Role: "decode", Fencing: 5}))
	var refused *rest.Error
	require.ErrorAs(t, engines.SetRole(t.Context(), address, RoleOrder{Role: "prefill", Fencing: 4}), &refused)
	resp, err := http.Get(server.URL + "/stats")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var stats engine.Stats
	require.NoError(t, json.Unmarshal(data, &stats))
	require.Equal(t, "decode", stats.Role)
}
