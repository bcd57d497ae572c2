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
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// scriptedDispatcher is a Dispatcher whose attachments run follow, or that refuses with refusal.
type scriptedDispatcher struct {
	follow  func(ctx context.Context, emit dispatch.Emit) error
	refusal *verdict.Error
}

type scriptedAttachment struct{ scripted *scriptedDispatcher }

func (a scriptedAttachment) Close() {}

func (a scriptedAttachment) Follow(ctx context.Context, emit dispatch.Emit) error {
	return a.scripted.follow(ctx, emit)
}

func (s *scriptedDispatcher) Submit(context.Context, dispatch.Submission) (dispatch.Attachment, error) {
	if s.refusal != nil {
		return nil, s.refusal
	}
	return scriptedAttachment{s}, nil
}

func (s *scriptedDispatcher) Resume(context.Context, dispatch.Resumption) (dispatch.Attachment, error) {
	return scriptedAttachment{s}, nil
}

func (s *scriptedDispatcher) Fetch(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "none")
}

func (s *scriptedDispatcher) Cancel(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "none")
}

// fixedAddressProvider is an AddressProvider with a fixed prefix and no addresses.
type fixedAddressProvider struct{}

func (fixedAddressProvider) Addresses() (*callerapi.AddressBook, error) {
	return &callerapi.AddressBook{}, nil
}

func (fixedAddressProvider) Prefix() string {
	return ident.Prefix("n1_0123456789abcdef", "n2_0123456789abcdef")
}

func (fixedAddressProvider) OwnID() ident.RequestID {
	return ident.NewRequestID("n1_0123456789abcdef", "n2_0123456789abcdef")
}

// serve starts a server with dispatcher and returns its base URL.
func serve(t *testing.T, dispatcher Dispatcher, change func(*settings.Limits)) string {
	t.Helper()
	return serveWithAccount(t, dispatcher, ingress.NewAccount(1<<20, time.Now), change)
}

// serveWithAccount is serve with the account that the memory of bodies is charged to.
func serveWithAccount(t *testing.T, dispatcher Dispatcher, account *ingress.Account, change func(*settings.Limits)) string {
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
	server, err := NewServer(NewHandler(dispatcher, fixedAddressProvider{}, fixedConfig{}), tokens, limits, account)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.http.Close() })
	return "http://" + listener.Addr().String()
}

// refusalResponse is a decoded refusal response.
type refusalResponse struct {
	status  int
	refusal callerapi.Refusal
}

// withResponse sends a request and passes the response to read before closing it.
func withResponse(t *testing.T, base, token, body string, read func(*http.Response)) {
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

// sendRefused sends a request and decodes the refusal that must come back.
func sendRefused(t *testing.T, base, token, body string) refusalResponse {
	t.Helper()
	var out refusalResponse
	withResponse(t, base, token, body, func(resp *http.Response) {
		out.status = resp.StatusCode
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, out.refusal.UnmarshalJSON(data), "%s", data)
	})
	return out
}

const streamBody = `{"kind":"chat","model":"m","input":"hi","deadlineMs":5000,"stream":true}`

func TestTokensAreSentAsTheyAreGenerated(t *testing.T) {
	seen := make(chan struct{})
	base := serve(t, &scriptedDispatcher{follow: func(ctx context.Context, emit dispatch.Emit) error {
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
	complete := false
	withResponse(t, base, "caller-token", streamBody, func(resp *http.Response) {
		require.Equal(t, http.StatusOK, resp.StatusCode)
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.Contains(lines.Text(), `"first"`) {
				close(seen)
			}
			complete = complete || lines.Text() == "event: done"
		}
	})
	require.True(t, complete, "the stream ended without its last event")
}

func TestBadInputNamesTheField(t *testing.T) {
	base := serve(t, &scriptedDispatcher{}, nil)
	for _, c := range []struct{ name, body, field string }{
		{"no kind", `{"model":"m","input":"x","deadlineMs":1}`, "kind"},
		{"empty kind", `{"kind":"","model":"m","input":"x","deadlineMs":1}`, "kind"},
		{"no deadline", `{"kind":"chat","model":"m","input":"x"}`, "deadlineMs"},
		{"deadline past the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":99999999}`, "deadlineMs"},
		{"priority past the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"priority":10}`, "priority"},
		{"tokens below the limit", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"maxTokens":0}`, "maxTokens"},
		{"input of the wrong type", `{"kind":"chat","model":"m","input":7,"deadlineMs":1}`, "input"},
		{"no target", `{"kind":"chat","input":"x","deadlineMs":1}`, "model"},
		{"two targets", `{"kind":"chat","model":"m","service":"docks","input":"x","deadlineMs":1}`, "model"},
		{"unknown model", `{"kind":"chat","model":"other","input":"x","deadlineMs":1}`, "model"},
		{"unknown service", `{"kind":"chat","service":"other","input":"x","deadlineMs":1}`, "service"},
		{"service that must not be repeated, sent as idempotent", `{"kind":"chat","service":"docks","input":"x","deadlineMs":1}`, "idempotent"},
		{"not idempotent and without ID", `{"kind":"chat","service":"docks","input":"x","deadlineMs":1,"idempotent":false}`, "id"},
		{"malformed ID", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"id":"mine"}`, "id"},
		{"tokens without generation", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"received":["a"]}`, "generation"},
		{"other workspace", `{"kind":"chat","model":"m","input":"x","deadlineMs":1,"workspace":"other"}`, "workspace"},
		{"malformed JSON", `{"kind":`, "body"},
	} {
		got := sendRefused(t, base, "caller-token", c.body)
		require.GreaterOrEqual(t, got.status, 400, c.name)
		require.Less(t, got.status, 500, c.name)
		require.Equal(t, c.field, got.refusal.Field.Or(""), "%s: %s", c.name, got.refusal.Message)
		require.Equal(t, callerapi.RefusalVerdictNotRun, got.refusal.Verdict, c.name)
	}
}

func TestCallerAPIRequiresACallerToken(t *testing.T) {
	base := serve(t, &scriptedDispatcher{}, nil)
	require.Equal(t, http.StatusUnauthorized, sendRefused(t, base, "", streamBody).status)
	require.Equal(t, http.StatusUnauthorized, sendRefused(t, base, "wrong", streamBody).status)
	require.Equal(t, http.StatusForbidden, sendRefused(t, base, "operator-token", streamBody).status)
}

func TestBodySizeAndConcurrencyLimits(t *testing.T) {
	hold := make(chan struct{})
	base := serve(t, &scriptedDispatcher{follow: func(_ context.Context, emit dispatch.Emit) error {
		if err := emit(dispatch.Event{Kind: dispatch.EventAccepted}); err != nil {
			return err
		}
		<-hold
		return nil
	}}, func(l *settings.Limits) { l.MaxConcurrent = 1 })
	defer close(hold)
	large := sendRefused(t, base, "caller-token", `{"kind":"chat","model":"m","deadlineMs":1,"input":"`+strings.Repeat("x", 5000)+`"}`)
	require.Equal(t, http.StatusRequestEntityTooLarge, large.status)
	require.Equal(t, string(verdict.CodeTooLarge), large.refusal.Code)

	withResponse(t, base, "caller-token", streamBody, func(first *http.Response) {
		require.Equal(t, http.StatusOK, first.StatusCode)
		second := sendRefused(t, base, "caller-token", streamBody)
		require.Equal(t, http.StatusTooManyRequests, second.status)
		require.Positive(t, second.refusal.RetryAfterMs.Or(0))
	})
}

func TestRefusalHasRetryDelayAndPrefix(t *testing.T) {
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(300 * time.Millisecond)
	base := serve(t, &scriptedDispatcher{refusal: refusal}, nil)
	got := sendRefused(t, base, "caller-token", streamBody)
	require.Equal(t, http.StatusTooManyRequests, got.status)
	require.Equal(t, callerapi.RefusalVerdictNotRun, got.refusal.Verdict)
	require.EqualValues(t, 300, got.refusal.RetryAfterMs.Or(0))
	require.Equal(t, fixedAddressProvider{}.Prefix(), got.refusal.RequestIdPrefix.Or(""))
}
