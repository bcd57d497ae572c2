package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// recordingDispatcher records the last submission and refuses it as overloaded.
type recordingDispatcher struct {
	last *dispatch.Submission
}

func (d *recordingDispatcher) Submit(_ context.Context, sub dispatch.Submission) (dispatch.Attachment, error) {
	d.last = &sub
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").WithRetryAfter(time.Second)
}

func (d *recordingDispatcher) Resume(context.Context, dispatch.Resumption) (dispatch.Attachment, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request")
}

func (d *recordingDispatcher) Fetch(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request")
}

func (d *recordingDispatcher) Cancel(context.Context, ident.RequestID, ident.Workspace) (*request.Record, error) {
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request")
}

// singleNodeView is the membership of a site with one node.
type singleNodeView struct{ self membership.Member }

func (n singleNodeView) Self() membership.Member      { return n.self }
func (n singleNodeView) Members() []membership.Member { return []membership.Member{n.self} }
func (n singleNodeView) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// fixedConfig is a config.View with a fixed configuration.
type fixedConfig struct{}

func (fixedConfig) Current() *config.Site {
	return &config.Site{Models: []config.Model{{Name: "m"}}, Services: []config.Service{{Name: "docks"}}}
}

func newFuzzServer(tb testing.TB) (http.Handler, *recordingDispatcher) {
	tb.Helper()
	tokens, err := auth.NewTokens([]settings.Token{{Name: "field", Role: settings.RoleCaller, Workspace: "w", SHA256: auth.Digest("c")}})
	if err != nil {
		tb.Fatal(err)
	}
	dispatcher := new(recordingDispatcher)
	view := singleNodeView{self: membership.Member{Incarnation: "n1_0123456789abcdef", Node: "n1"}}
	book := NewAddressBook(view, time.Second, func() (string, bool) { return "", false })
	limits := &settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConcurrent: 16, HeaderTimeoutMs: 1000, BodyTimeoutMs: 1000}
	server, err := NewServer(NewHandler(dispatcher, book, fixedConfig{}), tokens, limits, ingress.NewAccount(16<<20, time.Now))
	if err != nil {
		tb.Fatal(err)
	}
	return server.http.Handler, dispatcher
}

func post(handler http.Handler, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer c")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

const goodBody = `{"id":"n1_0123456789abcdef.n2_0123456789abcdef.aaaaaaaaaaaaaaaa","kind":"chat","model":"m","input":"x","deadlineMs":1000,"priority":9,"maxTokens":1,"idempotent":false,"stream":true,"generation":"g","received":["a"]}`

// FuzzSubmission checks that every body is either forwarded to the dispatcher within the
// bounds of the API document, or refused with a verdict, a code and, for bad input, the
// field at fault.
func FuzzSubmission(f *testing.F) {
	for _, body := range []string{
		goodBody, `{}`, `[]`, ``, `{"kind":1}`, `{"kind":"chat","service":"docks","input":"x","deadlineMs":1}`,
		`{"kind":"chat","model":"m","service":"docks","input":"x","deadlineMs":1}`,
		`{"kind":"chat","model":"m","input":"x","deadlineMs":1e99}`,
		`{"kind":"chat","model":"m","input":"x","deadlineMs":1000,"received":["a"]}`,
		`{"kind":"chat","model":"m","input":"x","deadlineMs":1000,"workspace":"other"}`,
	} {
		f.Add(body)
	}
	handler, dispatcher := newFuzzServer(f)
	f.Fuzz(func(t *testing.T, body string) {
		dispatcher.last = nil
		w := post(handler, body)
		var refusal callerapi.Refusal
		if err := refusal.UnmarshalJSON(w.Body.Bytes()); err != nil {
			t.Fatalf("status %d without a refusal: %s", w.Code, w.Body)
		}
		if dispatcher.last != nil {
			checkForwarded(t, dispatcher.last)
			return
		}
		if w.Code < 400 || w.Code > 499 {
			t.Fatalf("bad input was answered by status %d: %s", w.Code, w.Body)
		}
		if refusal.Verdict != callerapi.RefusalVerdictNotRun || refusal.Code == "" {
			t.Fatalf("refusal without its verdict or code: %s", w.Body)
		}
		if refusal.Code == string(verdict.CodeBadInput) && refusal.Field.Or("") == "" {
			t.Fatalf("bad input without the field at fault: %s", w.Body)
		}
	})
}

// checkForwarded requires a forwarded submission to be within the bounds of the API document.
func checkForwarded(t *testing.T, sub *dispatch.Submission) {
	t.Helper()
	spec := &sub.Spec
	switch {
	case (spec.Model == "") == (spec.Service == ""):
		t.Fatal("not exactly one of model and service")
	case spec.Workspace != "w":
		t.Fatalf("forwarded for workspace %q", spec.Workspace)
	case spec.Kind == "", spec.Priority > request.MaxPriority, spec.MaxTokens < 1:
		t.Fatalf("forwarded out of bounds: %+v", spec)
	case spec.Service == "docks" && spec.Idempotent:
		t.Fatal("a call that must not be repeated was forwarded as idempotent")
	}
}

func TestBadInputNamesTheFieldAtFault(t *testing.T) {
	handler, _ := newFuzzServer(t)
	for _, c := range []struct{ from, to, field string }{
		{`"kind":"chat"`, `"kind":""`, "kind"},
		{`"kind":"chat",`, ``, "kind"},
		{`"kind":"chat"`, `"kind":7`, "kind"},
		{`"deadlineMs":1000`, `"deadlineMs":0`, "deadlineMs"},
		{`"deadlineMs":1000`, `"deadlineMs":"soon"`, "deadlineMs"},
		{`"priority":9`, `"priority":10`, "priority"},
		{`"maxTokens":1`, `"maxTokens":0`, "maxTokens"},
		{`"model":"m"`, `"model":"m","service":"docks"`, "model"},
		{`"model":"m"`, `"model":"none"`, "model"},
		{`"model":"m"`, `"service":"none"`, "service"},
		{`"id":"n1`, `"id":"X`, "id"},
		{`"generation":"g",`, ``, "generation"},
		{`"received":["a"]`, `"received":[1]`, "received"},
		{`"model":"m"`, `"model":"m","workspace":"other"`, "workspace"},
	} {
		if !strings.Contains(goodBody, c.from) {
			t.Fatalf("%s is not in the body", c.from)
		}
		w := post(handler, strings.Replace(goodBody, c.from, c.to, 1))
		var refusal callerapi.Refusal
		if err := refusal.UnmarshalJSON(w.Body.Bytes()); err != nil {
			t.Fatal(err)
		}
		if w.Code/100 != 4 || refusal.Field.Or("") != c.field {
			t.Errorf("%s: status %d, field %q, want field %q: %s", c.to, w.Code, refusal.Field.Or(""), c.field, w.Body)
		}
	}
}
