package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/tables"
)

const idPrefix = "n1_0123456789abcdef.n2_0123456789abcdef."

// run runs the command line with in as standard input. It returns the exit code, standard
// output and standard error.
func run(t *testing.T, in string, arguments ...string) (int, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	code := Run(arguments, Streams{In: strings.NewReader(in), Out: &out, Err: &err})
	return code, out.String(), err.String()
}

// startCallerNode starts a node that answers submissions by calling answer, and sets the
// environment for a caller.
func startCallerNode(t *testing.T, answer func(w http.ResponseWriter, sub *callerapi.Submission)) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Authorization") != "Bearer c":
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = fmt.Fprint(w, `{"verdict":"not_run","code":"unauthorized","message":"no"}`)
		case r.URL.Path == "/v1/addresses":
			_, _ = fmt.Fprintf(w, `{"addresses":[{"url":%q,"node":"n1","failureDomain":"a","requestIdPrefix":%q}],"keepMs":1000,"requestIdPrefix":%q}`, "http://"+r.Host, idPrefix, idPrefix)
		case r.Method == http.MethodPost:
			sub := new(callerapi.Submission)
			_ = json.NewDecoder(r.Body).Decode(sub)
			answer(w, sub)
		default:
			_, _ = fmt.Fprint(w, `{"id":"x","phase":"running","tokens":7}`)
		}
	})
	server.Start()
	t.Cleanup(server.Close)
	t.Setenv(envAddr, server.URL)
	t.Setenv(envToken, "c")
}

func TestSendSendsEveryFieldAndShowsTheIDFirst(t *testing.T) {
	var got *callerapi.Submission
	startCallerNode(t, func(w http.ResponseWriter, sub *callerapi.Submission) {
		got = sub
		_, _ = fmt.Fprintf(w, `{"id":%q,"generation":"g","output":"the answer","tokens":2,"moves":0}`, sub.ID.Or(""))
	})
	code, out, errs := run(t, "from stdin", "send", "--kind=dock-hold", "--service=docks", "--input-file=-",
		"--not-idempotent", "--deadline=5s", "--priority=7", "--max-tokens=9", "--workspace=w", "--adapter=ad")
	require.Zero(t, code, errs)
	require.Equal(t, "the answer\n", out)
	require.True(t, strings.HasPrefix(errs, "request "+got.ID.Value+"\n"), errs)
	require.True(t, strings.HasPrefix(got.ID.Value, idPrefix))
	require.Equal(t, "from stdin", got.Input)
	require.Equal(t, "docks", got.Service.Value)
	require.Equal(t, "w", got.Workspace.Value)
	require.Equal(t, "ad", got.Adapter.Value)
	require.False(t, got.Idempotent.Value)
	require.Equal(t, 7, got.Priority.Value)
	require.Equal(t, 9, got.MaxTokens.Value)
	require.Positive(t, got.DeadlineMs)
}

func TestStreamIsPrintedTokenByToken(t *testing.T) {
	startCallerNode(t, func(w http.ResponseWriter, sub *callerapi.Submission) {
		_, _ = fmt.Fprintf(w, "event: accepted\ndata: {\"id\":%q,\"generation\":\"g\"}\n\n", sub.ID.Value)
		_, _ = fmt.Fprint(w, "event: token\ndata: {\"offset\":0,\"text\":\"one \"}\n\nevent: token\ndata: {\"offset\":1,\"text\":\"two\"}\n\nevent: done\ndata: {\"tokens\":2,\"moves\":0}\n\n")
	})
	code, out, errs := run(t, "", "send", "--kind=chat", "--model=m", "--input=x", "--stream")
	require.Zero(t, code, errs)
	require.Equal(t, "one two\n", out)
}

func TestExitCodesFollowTheVerdict(t *testing.T) {
	for _, c := range []struct {
		verdict, code string
		want          ExitCode
	}{
		{"not_run", "unknown_model", ExitNotRun},
		{"may_have_run", "grant_taken", ExitMayHaveRun},
		{"ran", "upstream_failed", ExitRan},
		{"not_run", "bad_input", ExitUsage},
		{"not_run", "forbidden", ExitNotAllowed},
	} {
		startCallerNode(t, func(w http.ResponseWriter, _ *callerapi.Submission) {
			w.WriteHeader(http.StatusConflict)
			_, _ = fmt.Fprintf(w, `{"verdict":%q,"code":%q,"message":"because","field":"model"}`, c.verdict, c.code)
		})
		code, _, errs := run(t, "", "send", "--kind=chat", "--model=m", "--input=x")
		require.Equal(t, int(c.want), code, errs)
		require.Contains(t, errs, c.code+": because")
		require.Contains(t, errs, "field at fault: model")
		_, out, _ := run(t, "", "-o", "json", "send", "--kind=chat", "--model=m", "--input=x")
		var result resultJSON
		require.NoError(t, json.Unmarshal([]byte(out), &result), out)
		require.Equal(t, c.verdict, result.Verdict)
	}
}

func TestWrongUseIsReportedBeforeAnythingIsSent(t *testing.T) {
	startCallerNode(t, func(http.ResponseWriter, *callerapi.Submission) { t.Error("something was sent") })
	for _, arguments := range [][]string{
		{"send", "--model=m"},
		{"send", "--kind=chat", "--input=x", "--input-file=y"},
		{"send", "--kind=chat", "--input=x", "--priority=10"},
		{"send", "--kind=chat", "--input-file=/no/such/file"},
		{"resume", "id", "--offset=3"},
		{"show", "nods"},
		{"set", "model", "m"},
		{"nonsense"},
		{"--output=xml", "version"},
		{"--ca=/no/such/file", "addresses"},
	} {
		code, _, errs := run(t, "", arguments...)
		require.Equal(t, int(ExitUsage), code, "%v: %s", arguments, errs)
		require.NotEmpty(t, errs)
	}
}

func TestOtherCallerCommands(t *testing.T) {
	startCallerNode(t, nil)
	code, out, _ := run(t, "", "addresses")
	require.Zero(t, code)
	require.Contains(t, out, "failureDomain")
	for _, verb := range []string{"fetch", "cancel"} {
		code, out, errs := run(t, "", verb, "x")
		require.Zero(t, code, errs)
		require.Contains(t, out, "running")
	}
	t.Setenv(envToken, "wrong")
	code, _, errs := run(t, "", "fetch", "x")
	require.Equal(t, int(ExitNotAllowed), code, errs)
}

// outcomeQueue answers each proposal with the next outcome.
type outcomeQueue []config.Outcome

func (d *outcomeQueue) Propose(context.Context, config.Proposal) (config.Outcome, error) {
	next := (*d)[0]
	*d = (*d)[1:]
	return next, nil
}

// startOperatorNode starts a node with two rows in the table kinds, sets the environment for
// an operator and returns the node's URL.
func startOperatorNode(t *testing.T, editor operator.Editor) string {
	t.Helper()
	registry := tables.NewRegistry()
	tables.Provide(registry, func(context.Context) ([]tables.Kind, error) {
		return []tables.Kind{{Name: "draft", Worth: 2.5}, {Name: "chat", Worth: 1}}, nil
	})
	tokens, err := auth.NewTokens([]settings.Token{{Name: "desk", Role: settings.RoleOperator, SHA256: auth.Digest("o")}})
	require.NoError(t, err)
	runner := operator.NewRunner(operator.Options{Schema: tables.Schema(), Tables: registry, Editor: editor})
	handler, err := operator.NewHandler(runner, tokens)
	require.NoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Setenv(envOperatorAddr, server.URL)
	t.Setenv(envToken, "o")
	return server.URL
}

func TestShowAsTableAndJSON(t *testing.T) {
	url := startOperatorNode(t, nil)
	code, out, errs := run(t, "", "show", "kinds", "where", "worth", ">", "1")
	require.Zero(t, code, errs)
	require.Equal(t, "name   worth\ndraft  2.5\n1 row\n", out)
	code, out, _ = run(t, "", "-o", "json", "show", "kinds sort by worth")
	require.Zero(t, code)
	require.JSONEq(t, `[{"name":"chat","worth":1},{"name":"draft","worth":2.5}]`, out)

	t.Setenv(envOperatorAddr, "http://127.0.0.1:1,"+url)
	code, _, errs = run(t, "", "show", "kinds")
	require.Zero(t, code, errs)
	t.Setenv(envToken, "c")
	code, _, _ = run(t, "", "show", "kinds")
	require.Equal(t, int(ExitNotAllowed), code)
}

func TestExitCodesFollowTheOutcome(t *testing.T) {
	for want, decision := range map[ExitCode]config.Outcome{
		ExitOK:       {Kind: config.OutcomeAccepted, Version: 3},
		ExitRefused:  {Kind: config.OutcomeRefused, Faults: []config.Fault{{Path: "p", Value: "v", Allowed: "a"}}},
		ExitConflict: {Kind: config.OutcomeConflict, ConflictingChanges: []config.ChangeRecord{{Change: "other", Summary: "set model m replicas=2"}}},
		ExitUnknown:  {Kind: config.OutcomeUnknown},
	} {
		startOperatorNode(t, &outcomeQueue{decision, decision})
		code, out, errs := run(t, "", "set", "--change-id=c1", "model", "m", "replicas=1")
		require.Equal(t, int(want), code, errs)
		require.True(t, strings.HasPrefix(errs, "change c1\n"), errs)
		require.Contains(t, out, "change c1: "+string(decision.Kind))
		_, out, _ = run(t, "", "-o", "json", "set", "--change-id=c1", "model", "m", "replicas=1")
		require.Contains(t, out, `"outcome": "`+string(decision.Kind)+`"`)
	}
}

func TestOutcomeOfChangeWithoutAnswerIsUnknown(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	t.Setenv(envOperatorAddr, silent.URL)
	code, _, errs := run(t, "", "--timeout=300ms", "set", "model", "m", "replicas=1")
	require.Equal(t, int(ExitUnknown), code)
	require.Contains(t, errs, "send it again with --change-id c-")
	code, _, _ = run(t, "", "--timeout=300ms", "show", "nodes")
	require.Equal(t, int(ExitNoAnswer), code)
	t.Setenv(envOperatorAddr, "http://127.0.0.1:1")
	code, _, _ = run(t, "", "--timeout="+time.Second.String(), "set", "model", "m", "replicas=1")
	require.Equal(t, int(ExitNoAnswer), code, "nothing was sent")
}

func TestHelpVersionAndCompletion(t *testing.T) {
	code, out, _ := run(t, "", "--help")
	require.Zero(t, code)
	require.Contains(t, out, "Exit codes:")
	code, out, _ = run(t, "", "version")
	require.Zero(t, code)
	require.Contains(t, out, "mangoledge ")
	a := newApp([]string{"--completion-bash", "show", "nodes", "where", ""}, Streams{})
	require.Contains(t, a.completions(tables.Schema()), "incarnation")
}

func TestLogsShowEventsOfARequestWithoutANode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.log")
	line := `{"time":"2026-01-01T00:00:02Z","msg":"refused","node":"n1","request":"r-1","status":429,"reason":"quota"}`
	require.NoError(t, os.WriteFile(path, []byte(line+"\n"), 0o600))
	code, out, _ := run(t, "", "logs", "r-1", path)
	require.Equal(t, int(ExitOK), code)
	require.Contains(t, out, "refused  reason=quota  request=r-1  status=429")
	code, _, errs := run(t, "", "logs", "r-2", path)
	require.Equal(t, int(ExitNoAnswer), code)
	require.Contains(t, errs, "r-2: no log names the request")
	code, _, _ = run(t, "", "logs", "r-1", path+".gone")
	require.Equal(t, int(ExitUsage), code)
}
