package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// scripted is a dispatcher whose requests do what follow says.
type scripted struct {
	follow  func(ctx context.Context, emit dispatch.Emit) error
	refusal *verdict.Error
}

type scriptedAttachment struct{ scripted *scripted }

func (a scriptedAttachment) Close() {}

func (a scriptedAttachment) Follow(ctx context.Context, emit dispatch.Emit) error {
	return a.scripted.follow(ctx, emit)
}

func (s *scripted) Submit(context.Context, dispatch.Submission) (dispatch.Attachment, error) {
	if s.refusal != nil {
		return nil, s.refusal
	}
	return scriptedAttachment{s}, nil
}

func (s *scripted) Resume(context.Context, dispatch.Resumption) (dispatch.Attachment, error) {
	return scriptedAttachment{s}, nil
}

func (s *scripted) Fetch(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "none")
}

func (s *scripted) Cancel(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "none")
}

// fixedBook names one node.
type fixedBook struct{}

func (fixedBook) Addresses() (*callerapi.AddressBook, error) { return &callerapi.AddressBook{}, nil }

func (fixedBook) Prefix() string {
	return ident.Prefix("n1_0123456789abcdef", "n2_0123456789abcdef")
}

func (fixedBook) OwnID() ident.RequestID {
	return ident.NewRequestID("n1_0123456789abcdef", "n2_0123456789abcdef")
}

// serve starts a server over dispatcher and returns its base URL.
func serve(t *testing.T, dispatcher Dispatcher, change func(*settings.Limits)) string {
	t.Helper()
	tokens, err := auth.NewTokens([]settings.Token{
		{Name: "caller", Role: settings.RoleCaller, Workspace: "w", SHA256: auth.Digest("caller-token")},
		{Name: "operator", Role: settings.RoleOperator, SHA256: auth.Digest("operator-token")},
	})
	require.NoError(t, err)
	limits := &settings.Limits{MaxBodyBytes: 4096, MaxHeaderBytes: 4096, MaxConcurrent: 8, HeaderTimeoutMs: 5000, BodyTimeoutMs: 5000}
	if change != nil {
		change(limits)
	}
	server, err := NewServer(NewHandler(dispatcher, fixedBook{}, oneSite{}), tokens, limits)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.http.Close() })
	return "http://" + listener.Addr().String()
}

// answered is what a caller got.
type answered struct {
	status  int
	refusal callerapi.Refusal
}

// open sends a request and hands its answer to read before it is closed.
func open(t *testing.T, base, token, body string, read func(*http.Response)) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, base+"/v1/requests", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	read(resp)
}

// send sends a request that is refused.
func send(t *testing.T, base, token, body string) answered {
	t.Helper()
	var out answered
	open(t, base, token, body, func(resp *http.Response) {
		out.status = resp.StatusCode
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, out.refusal.UnmarshalJSON(data), "%s", data)
	})
	return out
}

const streamBody = `{"kind":"chat","model":"m","input":"hi","deadlineMs":5000,"stream":true}`

func TestFirstTokenArrivesBeforeTheLastIsGenerated(t *testing.T) {
	seen := make(chan struct{})
	base := serve(t, &scripted{follow: func(ctx context.Context, emit dispatch.Emit) error {
		if err := emit(dispatch.Event{Kind: dispatch.EventAccepted, ID: "id", Generation: "g"}); err != nil {
			return err
		}
		if err := emit(dispatch.Event{Kind: dispatch.EventToken, Offset: 0, Text: "first"}); err != nil {
			return err
		}
		select {
		case <-seen:
		case <-ctx.Done():
			return ctx.Err()
		}
		return emit(dispatch.Event{Kind: dispatch.EventDone, Tokens: 1})
	}}, nil)
	whole := false
	open(t, base, "caller-token", streamBody, func(resp *http.Response) {
		require.Equal(t, http.StatusOK, resp.StatusCode)
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.Contains(lines.Text(), `"first"`) {
				close(seen)
			}
			whole = whole || lines.Text() == "event: done"
		}
	})
	require.True(t, whole, "the stream ended without its last event")
}

func TestBadInputNamesTheField(t *testing.T) {
	base := serve(t, &scripted{}, nil)
	for _, c := range []struct{ name, body, field string }{
		{"no kind", `{"model":"m","input":"x","deadlineMs":1}`, "kind"},
		{"empty kind", `{"kind":"","model":"m","input":"x","deadlineMs":1}`, "kind"},
		{"no deadline", `{"kind":"chat","model":"m","input":"x"}`, "deadlineMs"},
		{"deadline past the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":99999999}`, "deadlineMs"},
		{"priority past the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"priority":10}`, "priority"},
		{"tokens below the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"maxTokens":0}`, "maxTokens"},
		{"type", `{"kind":"chat","model":"m","input":7,"deadlineMs":1}`, "input"},
		{"no target", `{"kind":"chat","input":"x","deadlineMs":1}`, "model"},
		{"two targets", `{"kind":"chat","model":"m","service":"docks","input":"x","deadlineMs":1}`, "model"},
		{"unknown model", `{"kind":"chat","model":"other","input":"x","deadlineMs":1}`, "model"},
		{"unknown service", `{"kind":"chat","service":"other","input":"x","deadlineMs":1}`, "service"},
		{"service that may not be repeated", `{"kind":"chat","service":"docks","input":"x","deadlineMs":1}`, "idempotent"},
		{"once without ID", `{"kind":"chat","service":"docks","input":"x","deadlineMs":1,"idempotent":false}`, "id"},
		{"no ID at all", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"id":"mine"}`, "id"},
		{"tokens without generation", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"received":["a"]}`, "generation"},
		{"other workspace", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"workspace":"other"}`, "workspace"},
		{"no JSON", `{"kind":`, "body"},
	} {
		got := send(t, base, "caller-token", c.body)
		require.GreaterOrEqual(t, got.status, 400, c.name)
		require.Less(t, got.status, 500, c.name)
		require.Equal(t, c.field, got.refusal.Field.Or(""), "%s: %s", c.name, got.refusal.Message)
		require.Equal(t, callerapi.RefusalVerdictNotRun, got.refusal.Verdict, c.name)
	}
}

func TestCallersNeedTheirOwnToken(t *testing.T) {
	base := serve(t, &scripted{}, nil)
	require.Equal(t, http.StatusUnauthorized, send(t, base, "", streamBody).status)
	require.Equal(t, http.StatusUnauthorized, send(t, base, "wrong", streamBody).status)
	require.Equal(t, http.StatusForbidden, send(t, base, "operator-token", streamBody).status)
}

func TestLimits(t *testing.T) {
	hold := make(chan struct{})
	base := serve(t, &scripted{follow: func(_ context.Context, emit dispatch.Emit) error {
		if err := emit(dispatch.Event{Kind: dispatch.EventAccepted}); err != nil {
			return err
		}
		<-hold
		return nil
	}}, func(l *settings.Limits) { l.MaxConcurrent = 1 })
	defer close(hold)
	large := send(t, base, "caller-token", `{"kind":"chat","model":"m","deadlineMs":1,"input":"`+strings.Repeat("x", 5000)+`"}`)
	require.Equal(t, http.StatusRequestEntityTooLarge, large.status)
	require.Equal(t, string(verdict.CodeTooLarge), large.refusal.Code)

	open(t, base, "caller-token", streamBody, func(first *http.Response) {
		require.Equal(t, http.StatusOK, first.StatusCode)
		second := send(t, base, "caller-token", streamBody)
		require.Equal(t, http.StatusTooManyRequests, second.status)
		require.Positive(t, second.refusal.RetryAfterMs.Or(0))
	})
}

func TestRefusalSaysWhenToComeBackAndWithWhichPrefix(t *testing.T) {
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(300 * time.Millisecond)
	base := serve(t, &scripted{refusal: refusal}, nil)
	got := send(t, base, "caller-token", streamBody)
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, callerapi.RefusalVerdictNotRun, got.refusal.Verdict)
	require.EqualValues(t, 300, got.refusal.RetryAfterMs.Or(0))
	require.Equal(t, fixedBook{}.Prefix(), got.refusal.RequestIdPrefix.Or(""))
}
