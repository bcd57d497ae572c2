package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/operatorapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/tables"
)

// storeEditor is a configuration store with conditional writes, in memory.
type storeEditor struct {
	site config.Site
	made map[ident.Change]uint64
	// loseAnswer has the next write take effect and its answer lost.
	loseAnswer bool
}

func (e *storeEditor) Propose(_ context.Context, p Proposal) (Decision, error) {
	if version, done := e.made[p.Change]; done {
		return Decision{Outcome: OutcomeAccepted, Version: version}, nil
	}
	if p.Base != 0 && p.Base != e.site.Version {
		return Decision{Outcome: OutcomeConflict, Won: &Winner{Change: e.site.Change, Version: e.site.Version}}, nil
	}
	next := e.site
	if err := p.Edit(&next); err != nil {
		return Decision{}, err
	}
	next.Version++
	next.Change = p.Change
	e.site = next
	e.made[p.Change] = next.Version
	if e.loseAnswer {
		e.loseAnswer = false
		return Decision{Outcome: OutcomeUnknown, Reason: "no answer from the store"}, nil
	}
	return Decision{Outcome: OutcomeAccepted, Version: next.Version}, nil
}

// Current makes the store the configuration in force.
func (e *storeEditor) Current() *config.Site { return &e.site }

// members is a list of members; the first is this node.
type members []membership.Member

func (m members) Self() membership.Member      { return m[0] }
func (m members) Members() []membership.Member { return m }
func (m members) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// fakeLocal knows one upstream.
type fakeLocal struct {
	upstream ident.Upstream
	drained  int
	stopped  int
}

func (l *fakeLocal) DrainNode(context.Context) error { l.stopped++; return nil }
func (l *fakeLocal) DrainUpstream(id ident.Upstream) bool {
	if id != l.upstream {
		return false
	}
	l.drained++
	return true
}
func (l *fakeLocal) DrainHost(ident.Host) bool   { return false }
func (l *fakeLocal) ClearPoison(string) bool     { return false }
func (l *fakeLocal) ClearLeaving(id string) bool { return id == string(l.upstream) }

// nodesByAddress carries calls to the order services of other nodes; an address without one is silent.
type nodesByAddress map[string]*OrderService

func (n nodesByAddress) Call(_ context.Context, address, _ string, args, reply any) error {
	service, ok := n[address]
	if !ok {
		return errors.New("silent")
	}
	return service.Carry(args.(*Order), reply.(*OrderReply))
}

type fakeDump struct{ Settings settings.Settings }

func (d *fakeDump) Dump() any { return struct{ Settings settings.Settings }{d.Settings.Redacted()} }

type bench struct {
	runner *Runner
	editor *storeEditor
	local  *fakeLocal
	remote *fakeLocal
	peers  nodesByAddress
	view   members
}

func newBench() *bench {
	b := &bench{
		editor: &storeEditor{made: make(map[ident.Change]uint64)},
		local:  &fakeLocal{upstream: "u1"},
		remote: &fakeLocal{upstream: "u1"},
		view: members{
			{Incarnation: "n1_0123456789abcdef", Node: "n1", FailureDomain: "a", PeerAddress: "a1"},
			{Incarnation: "n2_0123456789abcdef", Node: "n2", FailureDomain: "b", PeerAddress: "a2"},
		},
	}
	b.peers = nodesByAddress{"a2": NewOrderService(b.remote)}
	registry := tables.NewRegistry()
	tables.ProvideNodes(registry, b.view)
	journal := explain.NewJournal("n1_0123456789abcdef", 64, time.Now)
	b.runner = NewRunner(Options{
		Schema:    tables.Schema(),
		Tables:    registry,
		Editor:    b.editor,
		Orders:    NewOrders(b.view, b.peers, NewOrderService(b.local)),
		Explainer: explain.NewCollector(journal, b.view[:1], nil),
		Dumper:    &fakeDump{Settings: settings.Settings{PeerToken: "planted", Platform: settings.Platform{Token: "planted"}}},
		Journal:   journal,
	})
	return b
}

func (b *bench) run(t *testing.T, in Command) *Result {
	t.Helper()
	result, err := b.runner.Run(t.Context(), in)
	require.NoError(t, err, in.Text)
	return result
}

func TestSetDeclaresObjects(t *testing.T) {
	b := newBench()
	for _, text := range []string{
		`set model m version=v1 replicas=3 priority=7 adapters=a,b`,
		`set model m replicas=5`,
		`set service dock repeatable=false`,
		`set workspace w share=2.5 maxInFlight=10`,
		`set kind draft worth=3`,
		`set capacity zone-a/small maxHosts=4 maxPricePerHour=1.5 reclaimable=true`,
		`set weights site latency=0.7`,
		`set model gone replicas=1`,
		`set model gone remove=true`,
	} {
		require.Equal(t, OutcomeAccepted, b.run(t, Command{Text: text}).Decision.Outcome, text)
	}
	site := b.editor.site
	require.Equal(t, []config.Model{{Name: "m", Version: "v1", Replicas: 5, Priority: 7, Adapters: []ident.Adapter{"a", "b"}}}, site.Models)
	require.Equal(t, []config.Service{{Name: "dock"}}, site.Services)
	require.Equal(t, []config.Workspace{{Name: "w", Share: 2.5, MaxInFlight: 10}}, site.Workspaces)
	require.Equal(t, []config.Kind{{Name: "draft", Worth: 3}}, site.Kinds)
	require.Equal(t, []config.Capacity{{FailureDomain: "zone-a", HostClass: "small", MaxHosts: 4, MaxPricePerHour: 1.5, Reclaimable: true}}, site.Capacity)
	require.InDelta(t, 0.7, site.Weights.Latency, 0)
}

func TestRefusedChangesAreNotMade(t *testing.T) {
	b := newBench()
	for _, text := range []string{
		`set model m replicas=1.5`, `set model m priority=10`, `set workspace w share=0`, `set workspace w share=-1`,
		`set kind k worth=NaN`, `set capacity zone maxHosts=1`, `set weights all latency=0.1`, `set weights site latency=1.1`,
	} {
		result := b.run(t, Command{Text: text})
		require.Equal(t, OutcomeRefused, result.Decision.Outcome, text)
		require.NotEmpty(t, result.Change)
		require.Contains(t, result.Text, "refused: ")
	}
	require.Zero(t, b.editor.site.Version)
}

func TestAChangeSentAgainIsMadeOnce(t *testing.T) {
	b := newBench()
	b.editor.loseAnswer = true
	first := b.run(t, Command{Text: "set model m replicas=3", Change: "c1"})
	require.Equal(t, OutcomeUnknown, first.Decision.Outcome)
	require.Contains(t, first.Text, "--change-id c1")
	second := b.run(t, Command{Text: "set model m replicas=3", Change: "c1"})
	require.Equal(t, OutcomeAccepted, second.Decision.Outcome)
	require.EqualValues(t, 1, b.editor.site.Version)
}

func TestTheLoserOfAConflictIsToldWhatWon(t *testing.T) {
	b := newBench()
	b.run(t, Command{Text: "set model m replicas=1", Change: "c0"})
	b.run(t, Command{Text: "set model m replicas=2", Change: "winner", Base: 1})
	loser := b.run(t, Command{Text: "set model m replicas=9", Change: "loser", Base: 1})
	require.Equal(t, OutcomeConflict, loser.Decision.Outcome)
	require.Equal(t, &Winner{Change: "winner", Version: 2}, loser.Decision.Won)
	require.Contains(t, loser.Text, "change winner came first and made version 2")
	require.Equal(t, 2, b.editor.site.Models[0].Replicas)
}

func TestOrdersAreAcceptedOnlyWhenEveryNodeConfirms(t *testing.T) {
	b := newBench()
	result := b.run(t, Command{Text: "drain upstream u1"})
	require.Equal(t, OutcomeAccepted, result.Decision.Outcome, result.Text)
	require.Equal(t, []int{1, 1}, []int{b.local.drained, b.remote.drained})

	require.Equal(t, OutcomeRefused, b.run(t, Command{Text: "drain upstream u9"}).Decision.Outcome)
	require.Equal(t, OutcomeAccepted, b.run(t, Command{Text: "clear leaving u1"}).Decision.Outcome)
	require.Equal(t, OutcomeRefused, b.run(t, Command{Text: "clear poison p"}).Decision.Outcome)

	require.Equal(t, OutcomeAccepted, b.run(t, Command{Text: "drain node n2"}).Decision.Outcome)
	require.Equal(t, []int{0, 1}, []int{b.local.stopped, b.remote.stopped})
	require.Equal(t, OutcomeRefused, b.run(t, Command{Text: "drain node n7"}).Decision.Outcome)

	delete(b.peers, "a2")
	result = b.run(t, Command{Text: "drain upstream u1"})
	require.Equal(t, OutcomeUnknown, result.Decision.Outcome)
	require.Contains(t, result.Text, "no confirmation from n2")
}

func TestExplainTellsWhatBecameOfAChange(t *testing.T) {
	b := newBench()
	b.run(t, Command{Text: "set model m replicas=3", Change: "c1", By: "desk"})
	result := b.run(t, Command{Text: "explain change c1"})
	require.Len(t, result.Rows, 1)
	require.Contains(t, result.Text, "desk asked for `set model m replicas=3`; it was accepted.")
	result = b.run(t, Command{Text: "explain change c2"})
	require.Contains(t, result.Text, "no node that answered remembers")
}

func TestDumpHoldsNoSecret(t *testing.T) {
	result := newBench().run(t, Command{Text: "dump"})
	require.NotContains(t, result.Text, "planted")
	require.Contains(t, result.Text, "(hidden)")
}

func TestTheAPI(t *testing.T) {
	tokens, err := auth.NewTokens([]settings.Token{
		{Name: "desk", Role: settings.RoleOperator, SHA256: auth.Digest("o")},
		{Name: "field", Role: settings.RoleCaller, Workspace: "w", SHA256: auth.Digest("c")},
	})
	require.NoError(t, err)
	handler, err := NewHandler(newBench().runner, tokens)
	require.NoError(t, err)
	post := func(token, body string) (int, *httptest.ResponseRecorder) {
		r := httptest.NewRequest(http.MethodPost, "/v1/command", strings.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Code, w
	}
	status, w := post("o", `{"command":"show nodes where failureDomain = b"}`)
	require.Equal(t, http.StatusOK, status, w.Body)
	var result operatorapi.CommandResult
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &result))
	require.Len(t, result.Rows, 1)
	require.Equal(t, "n2", result.Rows[0][0])
	require.Contains(t, result.Text, "1 row")

	for _, c := range []struct {
		token, body string
		status      int
		code        operatorapi.CommandErrorCode
		column      int
	}{
		{"o", `{"command":"show nodes where stat = x"}`, 400, "bad_command", 18},
		{"o", `{"command":""}`, 400, "bad_input", 0},
		{"o", `{"command":"dump","changeId":"a b"}`, 400, "bad_input", 0},
		{"o", `{"command":"dump","wrong`, 400, "bad_input", 0},
		{"o", `{"command":"show upstreams"}`, 501, "not_available", 0},
		{"o", `{"command":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413, "bad_input", 0},
		{"c", `{"command":"dump"}`, 403, "forbidden", 0},
		{"x", `{"command":"dump"}`, 401, "unauthorized", 0},
	} {
		status, w := post(c.token, c.body)
		var refused operatorapi.CommandError
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &refused), w.Body)
		require.Equal(t, c.status, status, w.Body)
		require.Equal(t, c.code, refused.Code)
		require.Equal(t, c.column, refused.Column.Or(0))
	}

	r := httptest.NewRequest(http.MethodGet, "/v1/dump", nil)
	r.Header.Set("Authorization", "Bearer o")
	dump := httptest.NewRecorder()
	handler.ServeHTTP(dump, r)
	require.Equal(t, http.StatusOK, dump.Code)
	require.Contains(t, dump.Body.String(), "(hidden)")
	require.NotContains(t, dump.Body.String(), "planted")
}

func TestEveryTableAndColumnIsDescribed(t *testing.T) {
	schema := tables.Schema()
	for _, table := range schema.Tables {
		require.NotEmpty(t, table.Doc, table.Name)
		for _, column := range table.Columns {
			require.NotEmpty(t, column.Name, table.Name)
			require.NotEmpty(t, column.Doc, column.Name)
		}
		_, err := query.Parse("show "+table.Name, schema)
		require.NoError(t, err)
	}
}
