package callerclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
)

const (
	testPrefix  = "n1_0123456789abcdef.n2_0123456789abcdef."
	newIDPrefix = "n3_0123456789abcdef.n4_0123456789abcdef."
)

// fakeSite is two nodes that follow a script: reply i answers call i, at whichever node it arrives.
type fakeSite struct {
	nodes []*httptest.Server

	mu     sync.Mutex
	script []func(w http.ResponseWriter, r *http.Request, sub *callerapi.Submission)
	calls  []siteCall
}

// siteCall is one call that a node received.
type siteCall struct {
	node   string
	method string
	path   string
	query  string
	sub    *callerapi.Submission
}

// reply answers one call.
type reply = func(w http.ResponseWriter, r *http.Request, sub *callerapi.Submission)

// newFakeSite starts a fakeSite that is stopped when the test ends.
func newFakeSite(t *testing.T, script ...reply) *fakeSite {
	t.Helper()
	site := &fakeSite{script: script}
	for range 2 {
		site.nodes = append(site.nodes, httptest.NewServer(http.HandlerFunc(site.serve)))
	}
	t.Cleanup(func() {
		for _, node := range site.nodes {
			node.CloseClientConnections()
			node.Close()
		}
	})
	return site
}

// client returns a Client that has the first node as its seed.
func (s *fakeSite) client() *Client {
	return New(Options{Seeds: []string{s.nodes[0].URL}, Token: "t", SilenceTimeout: 300 * time.Millisecond})
}

func (s *fakeSite) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		s.serveAddresses(w)
		return
	}
	sub := new(callerapi.Submission)
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(sub); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	n := len(s.calls)
	s.calls = append(s.calls, siteCall{node: "http://" + r.Host, method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, sub: sub})
	s.mu.Unlock()
	if n >= len(s.script) {
		refuse(http.StatusInternalServerError, "may_have_run", "internal", 0)(w, r, sub)
		return
	}
	s.script[n](w, r, sub)
}

func (s *fakeSite) serveAddresses(w http.ResponseWriter) {
	book := &callerapi.AddressBook{KeepMs: 10000, RequestIdPrefix: testPrefix}
	for i, node := range s.nodes {
		book.Addresses = append(book.Addresses, callerapi.Address{URL: node.URL, RequestIdPrefix: prefixOf(i)})
	}
	data, _ := book.MarshalJSON()
	_, _ = w.Write(data)
}

// prefixOf returns the prefix of IDs whose home is node i of the site.
func prefixOf(i int) string {
	return fmt.Sprintf("n%d_0123456789abcdef.n%d_0123456789abcdef.", i+1, 2-i)
}

// recordedCalls returns the calls received so far, without those for addresses.
func (s *fakeSite) recordedCalls() []siteCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]siteCall(nil), s.calls...)
}

// stall sends the given events and then nothing until the connection is closed.
func stall(parts ...string) reply {
	return func(w http.ResponseWriter, r *http.Request, sub *callerapi.Submission) {
		if len(parts) > 0 {
			writeEvents(w, sub, r, parts)
		}
		<-r.Context().Done()
	}
}

// sendEvents sends the given events and ends the response.
func sendEvents(parts ...string) reply {
	return func(w http.ResponseWriter, r *http.Request, sub *callerapi.Submission) {
		writeEvents(w, sub, r, parts)
	}
}

// sendAndAbort sends the given events and aborts the connection.
func sendAndAbort(parts ...string) reply {
	return func(w http.ResponseWriter, r *http.Request, sub *callerapi.Submission) {
		if len(parts) > 0 {
			writeEvents(w, sub, r, parts)
		}
		panic(http.ErrAbortHandler)
	}
}

// writeEvents writes events, with the request's ID in place of $ID.
func writeEvents(w http.ResponseWriter, sub *callerapi.Submission, r *http.Request, parts []string) {
	id := sub.ID.Or("")
	if id == "" {
		id = strings.Split(r.URL.Path, "/")[3]
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, part := range parts {
		_, _ = fmt.Fprint(w, strings.ReplaceAll(part, "$ID", id))
		_ = http.NewResponseController(w).Flush()
	}
}

func sseAccepted(generation string) string {
	return "event: accepted\ndata: {\"id\":\"$ID\",\"generation\":\"" + generation + "\"}\n\n"
}

func sseToken(offset int, text string) string {
	return fmt.Sprintf("event: token\ndata: {\"offset\":%d,\"text\":%q}\n\n", offset, text)
}

func sseDone(tokens int) string {
	return fmt.Sprintf("event: done\ndata: {\"tokens\":%d,\"moves\":1}\n\n", tokens)
}

// refuse answers with a refusal whose prefix for a new ID is newIDPrefix.
func refuse(status int, verdict, code string, retryAfterMs int64) reply {
	return func(w http.ResponseWriter, _ *http.Request, _ *callerapi.Submission) {
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"verdict":%q,"code":%q,"message":"no","retryAfterMs":%d,"requestIdPrefix":%q}`, verdict, code, retryAfterMs, newIDPrefix)
	}
}

// answer answers an unstreamed request; $ID in id stands for the request's ID.
func answer(id, output string) reply {
	return func(w http.ResponseWriter, _ *http.Request, sub *callerapi.Submission) {
		_, _ = fmt.Fprintf(w, `{"id":%q,"generation":"g","output":%q,"tokens":1,"moves":0}`, strings.ReplaceAll(id, "$ID", sub.ID.Or("")), output)
	}
}

func submission(stream, idempotent bool) callerapi.Submission {
	return callerapi.Submission{
		Kind:       "chat",
		Model:      callerapi.NewOptString("m"),
		Input:      "hello",
		DeadlineMs: 20000,
		Idempotent: callerapi.NewOptBool(idempotent),
		Stream:     callerapi.NewOptBool(stream),
	}
}

// requireSameID requires that all calls are about the ID of the first one.
func requireSameID(t *testing.T, calls []siteCall) {
	t.Helper()
	for _, call := range calls[1:] {
		if call.method == http.MethodPost {
			require.Equal(t, calls[0].sub.ID, call.sub.ID)
			continue
		}
		require.Contains(t, call.path, calls[0].sub.ID.Or(""))
	}
}
