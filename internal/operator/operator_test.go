package operator

import (
	"context"
	"encoding/json"
	"fmt"
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

// scriptedEditor records proposals and answers each with outcome.
type scriptedEditor struct {
	proposals []config.Proposal
	outcome   config.Outcome
}

func (e *scriptedEditor) Propose(_ context.Context, p config.Proposal) (config.Outcome, error) {
	e.proposals = append(e.proposals, p)
	out := e.outcome
	out.Change = p.Change
	return out, nil
}

// members is a list of members; the first is this node.
type members []membership.Member

func (m members) Self() membership.Member      { return m[0] }
func (m members) Members() []membership.Member { return m }
func (m members) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// fakeExecutor counts orders; it knows one leaving upstream and no poison.
type fakeExecutor struct {
	upstream ident.Upstream
	cleared  int
	stopped  int
}

func (e *fakeExecutor) DrainNode(context.Context) error  { e.stopped++; return nil }
func (e *fakeExecutor) ClearPoison(string) (bool, error) { return false, nil }
func (e *fakeExecutor) ClearLeaving(id string) (bool, error) {
	if id != string(e.upstream) {
		return false, nil
	}
	e.cleared++
	return true, nil
}

// orderServicesByAddress forwards calls to the order services of other nodes; a call to
// an address without one fails.
type orderServicesByAddress map[string]*OrderService

func (n orderServicesByAddress) Call(_ context.Context, address, _ string, args, reply any) error {
	service, ok := n[address]
	if !ok {
		return errors.New("silent")
	}
	return service.Carry(args.(*Order), reply.(*OrderReply))
}

// fakeDumper dumps its settings without secrets, as a node does.
type fakeDumper struct{ Settings settings.Settings }

func (d *fakeDumper) Dump() any { return struct{ Settings settings.Settings }{d.Settings.Redacted()} }

// fixture is a runner on node n1, of a site with the nodes n1 and n2.
type fixture struct {
	runner *Runner
	editor *scriptedEditor
	local  *fakeExecutor
	remote *fakeExecutor
	peers  orderServicesByAddress
	view   members
}

func newFixture() *fixture {
	f := &fixture{
		editor: &scriptedEditor{outcome: config.Outcome{Kind: config.OutcomeAccepted, Version: 3}},
		local:  &fakeExecutor{upstream: "u1"},
		remote: &fakeExecutor{upstream: "u1"},
		view: members{
			{Incarnation: "n1_0123456789abcdef", Node: "n1", FailureDomain: "a", PeerAddress: "a1"},
			{Incarnation: "n2_0123456789abcdef", Node: "n2", FailureDomain: "b", PeerAddress: "a2"},
		},
	}
	f.peers = orderServicesByAddress{"a2": NewOrderService(f.remote)}
	registry := tables.NewRegistry()
	tables.ProvideNodes(registry, f.view)
	journal := explain.NewJournal("n1_0123456789abcdef", 64, time.Now)
	f.runner = NewRunner(Options{
		Schema:    tables.Schema(),
		Tables:    registry,
		Editor:    f.editor,
		Orders:    NewOrderSender(f.view, f.peers, NewOrderService(f.local)),
		Explainer: explain.NewCollector(journal, f.view[:1], nil),
		Dumper:    &fakeDumper{Settings: settings.Settings{PeerToken: "planted", Platform: settings.Platform{Token: "planted"}}},
		Journal:   journal,
	})
	return f
}

func (f *fixture) run(t *testing.T, in Command) *Result {
	t.Helper()
	result, err := f.runner.Run(t.Context(), in)
	require.NoError(t, err, in.Text)
	return result
}

func TestSetDrainAndClearBecomeEdits(t *testing.T) {
	for text, want := range map[string]config.Edit{
		`set model m version=v1 adapters=a,b`:            {Table: config.TableModel, Key: "m", Assignments: []config.Assignment{{Column: "version", Value: "v1"}, {Column: "adapters", Value: "a,b"}}},
		`set capacity zone-a/small/on-demand maxHosts=4`: {Table: config.TableCapacity, Key: "zone-a/small/on-demand", Assignments: []config.Assignment{{Column: "maxHosts", Value: "4"}}},
		`set weights site latency=0.7`:                   {Table: config.TableWeights, Assignments: []config.Assignment{{Column: "latency", Value: "0.7"}}},
		`clear workspace w`:                              {Table: config.TableWorkspace, Key: "w", Remove: true},
		`drain host h1`:                                  {Table: config.TableDrain, Key: "host/h1"},
		`drain upstream u1`:                              {Table: config.TableDrain, Key: "upstream/u1"},
		`clear drain host/h1`:                            {Table: config.TableDrain, Key: "host/h1", Remove: true},
	} {
		f := newFixture()
		result := f.run(t, Command{Text: text, Change: "c1", BaseVersion: 2})
		require.Equal(t, OutcomeAccepted, result.Decision.Outcome, text)
		require.Equal(t, uint64(3), result.Decision.Version, text)
		if want.Table != config.TableDrain {
			require.Empty(t, result.Decision.Reason, text)
		}
		require.Equal(t, []config.Proposal{{Change: "c1", BaseVersion: 2, Edits: []config.Edit{want}}}, f.editor.proposals)
		require.Contains(t, result.Text, "change c1: accepted, version 3")
	}
}

func TestEveryObjectAndKeyExistsInConfiguration(t *testing.T) {
	schema := tables.Schema()
	require.Len(t, schema.Objects, len(config.Tables()))
	for _, object := range schema.Objects {
		var keys []string
		for _, key := range object.Keys {
			keys = append(keys, key.Name)
		}
		require.ElementsMatch(t, config.Columns(config.Table(object.Name)), keys, object.Name)
	}
}

func TestResultReportsOutcomeAndReason(t *testing.T) {
	for _, c := range []struct {
		outcome config.Outcome
		want    []string
	}{
		{config.Outcome{Kind: config.OutcomeRefused, Faults: []config.Fault{{Path: "model/m/replicas", Value: "x", Allowed: "a whole number"}}}, []string{"refused", `model/m/replicas: "x" is not a whole number`}},
		{config.Outcome{Kind: config.OutcomeConflict, ConflictingChanges: []config.ChangeRecord{{Change: "other", Summary: "set model m replicas=9"}}}, []string{"conflict", "came first: change other: set model m replicas=9", "decide anew"}},
		{config.Outcome{Kind: config.OutcomeUnknown, Reason: "no answer in time"}, []string{"unknown", "no answer in time", "--change-id c1"}},
	} {
		f := newFixture()
		f.editor.outcome = c.outcome
		result := f.run(t, Command{Text: "set model m replicas=1", Change: "c1"})
		require.Equal(t, string(c.outcome.Kind), string(result.Decision.Outcome))
		for _, part := range c.want {
			require.Contains(t, result.Text, part)
		}
	}
}

func TestMissingChangeIDIsGenerated(t *testing.T) {
	f := newFixture()
	first := f.run(t, Command{Text: "set model m replicas=1"})
	second := f.run(t, Command{Text: "set model m replicas=1"})
	require.NotEmpty(t, first.Change)
	require.NotEqual(t, first.Change, second.Change)
	require.Equal(t, first.Change, f.editor.proposals[0].Change)
}

func TestOrdersAreAcceptedOnlyWhenEveryNodeConfirms(t *testing.T) {
	f := newFixture()
	result := f.run(t, Command{Text: "clear leaving u1"})
	require.Equal(t, OutcomeAccepted, result.Decision.Outcome, result.Text)
	require.Equal(t, []int{1, 1}, []int{f.local.cleared, f.remote.cleared})

	result = f.run(t, Command{Text: "clear leaving u9"})
	require.Equal(t, OutcomeRefused, result.Decision.Outcome)
	require.Contains(t, result.Text, "a drain is taken back by `clear drain`")
	require.Equal(t, OutcomeRefused, f.run(t, Command{Text: "clear poison p"}).Decision.Outcome)

	require.Equal(t, OutcomeAccepted, f.run(t, Command{Text: "drain node n2"}).Decision.Outcome)
	require.Equal(t, []int{0, 1}, []int{f.local.stopped, f.remote.stopped})
	require.Equal(t, OutcomeRefused, f.run(t, Command{Text: "drain node n7"}).Decision.Outcome)

	delete(f.peers, "a2")
	result = f.run(t, Command{Text: "clear leaving u1"})
	require.Equal(t, OutcomeUnknown, result.Decision.Outcome)
	require.Contains(t, result.Text, "no confirmation from n2")
}

func TestExplainReportsOutcomeOfChange(t *testing.T) {
	f := newFixture()
	f.run(t, Command{Text: "set model m replicas=3", Change: "c1", OperatorName: "desk"})
	result := f.run(t, Command{Text: "explain change c1"})
	require.Len(t, result.Rows, 1)
	require.Contains(t, result.Text, "desk asked for `set model m replicas=3`; the outcome was accepted, version 3.")
	result = f.run(t, Command{Text: "explain change c2"})
	require.Contains(t, result.Text, "no node that answered remembers")
}

// showServicesByAddress forwards calls to the show services of other nodes; a call to an
// address without one fails.
type showServicesByAddress map[string]*ShowService

func (n showServicesByAddress) Call(_ context.Context, address, _ string, args, reply any) error {
	service, ok := n[address]
	if !ok {
		return errors.New("silent")
	}
	return service.Show(args.(*ShowRequest), reply.(*ShowReply))
}

// requestsRegistry returns a registry whose table requests holds rows.
func requestsRegistry(rows ...tables.Request) *tables.Registry {
	registry := tables.NewRegistry()
	tables.Provide(registry, func(context.Context) ([]tables.Request, error) { return rows, nil })
	return registry
}

func TestShowRequestsAsksEveryNode(t *testing.T) {
	schema := tables.Schema()
	own := requestsRegistry(tables.Request{ID: "r1", Tokens: 3, Phase: "running"}, tables.Request{ID: "r2", Tokens: 9, Phase: "done"})
	other := requestsRegistry(tables.Request{ID: "r1", Tokens: 7, Moves: 1, Phase: "running"}, tables.Request{ID: "r3", Tokens: 1, Phase: "running"})
	view := append(newFixture().view, membership.Member{Incarnation: "n3_0123456789abcdef", Node: "n3", PeerAddress: "a3"})
	caller := showServicesByAddress{"a2": NewShowService(schema, other)}
	runner := NewRunner(Options{Schema: schema, Tables: own, RowCollector: NewRowCollector(view, caller, NewShowService(schema, own))})

	result, err := runner.Run(t.Context(), Command{Text: "show requests where phase = running sort by tokens desc"})
	require.NoError(t, err)
	text := FormatRows(result.Rows)
	require.Len(t, text, 2)
	require.Equal(t, "r1", text[0][0])
	require.Contains(t, text[0], "7", "the row with more tokens wins")
	require.Equal(t, "r3", text[1][0])
	require.Contains(t, result.Text, "no rows from n3: silent")

	many := make([]tables.Request, maxRowsPerNode+1)
	for i := range many {
		many[i].ID = fmt.Sprint("m", i)
	}
	caller["a3"] = NewShowService(schema, requestsRegistry(many...))
	result, err = runner.Run(t.Context(), Command{Text: "show requests"})
	require.NoError(t, err)
	require.Len(t, result.Rows, maxRowsPerNode+3)
	require.Contains(t, result.Text, "n3 told only its first 500 rows")
}

func TestDumpContainsNoSecret(t *testing.T) {
	result := newFixture().run(t, Command{Text: "dump"})
	require.NotContains(t, result.Text, "planted")
	require.Contains(t, result.Text, "(hidden)")
}

func TestOperatorAPI(t *testing.T) {
	tokens, err := auth.NewTokens([]settings.Token{
		{Name: "desk", Role: settings.RoleOperator, SHA256: auth.Digest("o")},
		{Name: "field", Role: settings.RoleCaller, Workspace: "w", SHA256: auth.Digest("c")},
	})
	require.NoError(t, err)
	handler, err := NewHandler(newFixture().runner, tokens)
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

func TestEveryTableAndColumnHasDoc(t *testing.T) {
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
