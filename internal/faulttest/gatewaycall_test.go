package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// streamEvents is the number of events in a replica's stream.
	streamEvents = 12
	// soakDeadline is the deadline that callers send with a request.
	soakDeadline = 2500 * time.Millisecond
	// soakTimeoutMargin is how long after the deadline a caller gives up on a silent connection.
	soakTimeoutMargin = 1500 * time.Millisecond
	// rejectedPause is the additional pause of a caller whose request was rejected.
	rejectedPause = 50 * time.Millisecond
	// maxCallerNodes bounds the nodes that a caller uses: one process cannot hold the
	// connections of all callers to all nodes of a large site.
	maxCallerNodes = 16
	// promptTokens and outputTokens are the token usage that stream requests declare. All
	// callers together exceed the workspace's quota, so that it takes effect.
	promptTokens = 2800
	// longUploadOneIn is how many of a direct caller's requests there are for one with a long body.
	longUploadOneIn = 12
	outputTokens    = 200
)

// unlimitedWorkspace is a second workspace, without a quota.
const unlimitedWorkspace, unlimitedKey = "w2", "key-of-w2"

// maxRunsByRoute is how many replicas may run one attempt, for each route that callers use.
var maxRunsByRoute = map[string]int{"/once/": 1, "/again/": 2, "/stream/": 1, "/resume/": 2}

// attemptCounter numbers the attempts of this test process.
var attemptCounter atomic.Int64

// gatewayAttempt is one request of a caller and its response.
type gatewayAttempt struct {
	id     string
	route  string
	node   string
	body   string
	sentAt time.Time
	// workspace is whose key the caller sent.
	workspace string
	// leftEarly is true if the caller left before the end of the response.
	leftEarly bool

	mu sync.Mutex
	// done is false until the outcome is recorded, at doneAt.
	done         bool
	doneAt       time.Time
	status       int
	responseBody string
	// framed is true if the response had a length or chunks.
	framed bool
	// echoedID and signature are from the headers of the response.
	echoedID, signature string
	// err is why there is no complete response.
	err error
}

// newAttempt records a new attempt at a node; it does not send it.
func (s *gatewaySite) newAttempt(n *gatewayNode, route string) *gatewayAttempt {
	a := &gatewayAttempt{workspace: "w1", id: fmt.Sprintf("attempt-%d", attemptCounter.Add(1)), route: route, node: n.settings.Name, sentAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	return a
}

// finish records the outcome of the attempt; status is 0 if there was no response.
func (a *gatewayAttempt) finish(status int, responseBody string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.doneAt, a.status, a.responseBody, a.err = true, time.Now(), status, responseBody, err
}

// gatewayCaller sends requests over persistent connections.
type gatewayCaller struct {
	site *gatewaySite
	// nodes are the nodes that it sends to.
	nodes  []*gatewayNode
	client *http.Client
	random *rand.Rand
	// direct callers connect to the nodes themselves, since a link hides how a connection ended. Some
	// of their bodies are sent in chunks, and some of them read slowly or leave early.
	direct bool
	// longUploads is true if some of a direct caller's bodies are long.
	longUploads bool
}

// newCaller returns a caller; seed and number determine its random choices, and number which
// maxCallerNodes nodes of a larger site it uses.
func (s *gatewaySite) newCaller(seed, number uint64) *gatewayCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}
	s.t.Cleanup(transport.CloseIdleConnections)
	nodes := s.nodes
	if len(nodes) > maxCallerNodes {
		first := int(number) * maxCallerNodes % len(nodes)
		nodes = slices.Concat(nodes, nodes)[first : first+maxCallerNodes]
	}
	return &gatewayCaller{site: s, nodes: nodes, client: &http.Client{Transport: transport}, random: rand.New(rand.NewPCG(seed, number))}
}

// run sends requests on random routes to random nodes, one at a time, until stop is closed.
func (c *gatewayCaller) run(stop <-chan struct{}) {
	routes := []string{"/once/", "/again/", "/stream/", "/resume/"}
	for {
		select {
		case <-stop:
			return
		default:
		}
		node := c.nodes[c.random.IntN(len(c.nodes))]
		pause := time.Duration(c.random.IntN(20)) * time.Millisecond
		if a := c.send(node, routes[c.random.IntN(len(routes))]); a.statesNotRun() {
			pause += rejectedPause
		}
		time.Sleep(pause)
	}
}

// send makes one attempt through the node's link, with a body that names the attempt. The
// transport resends a request by itself only if the connection broke before the request was
// written; the attempt ID stays the same, so a second run would be detected.
func (c *gatewayCaller) send(n *gatewayNode, route string) *gatewayAttempt {
	return c.sendBody(n, route, "")
}

// sendBody is send with the given body; if empty, the body names the attempt.
func (c *gatewayCaller) sendBody(n *gatewayNode, route, body string) *gatewayAttempt {
	a := c.site.newAttempt(n, route)
	a.body = body
	if body == "" {
		a.body = "body of " + a.id
	}
	sent := a.body
	if body == "" && c.longUploads && c.random.IntN(longUploadOneIn) == 0 {
		sent = longUpload + a.body
		a.body = platformtest.BodyOf([]byte(sent))
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline+soakTimeoutMargin)
	defer cancel()
	address := n.frontLink.address
	if c.direct {
		address = n.address(platformtest.FrontPort)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+route+"x", io.NopCloser(strings.NewReader(sent)))
	if err != nil {
		a.finish(0, "", err)
		return a
	}
	if !c.direct || c.random.IntN(2) == 0 {
		req.ContentLength = int64(len(sent))
	}
	if c.direct && c.random.IntN(20) == 0 {
		a.leftEarly = true
		time.AfterFunc(time.Duration(c.random.IntN(150))*time.Millisecond, cancel)
	}
	req.Host = "site.example"
	req.Header.Set("X-Mangoledge-Attempt-Id", a.id)
	req.Header.Set("X-Mangoledge-Deadline-Ms", fmt.Sprint(soakDeadline.Milliseconds()))
	key := platformtest.WorkspaceKey
	if c.direct {
		a.workspace, key = unlimitedWorkspace, unlimitedKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if route == "/stream/" || route == "/resume/" {
		req.Header.Set("X-Mangoledge-Model", "m")
		req.Header.Set("X-Mangoledge-Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
		req.Header.Set("X-Mangoledge-Prefix-Hash", fmt.Sprintf("aa:2000,bb:500,%x:300", attemptCounter.Load()))
	}
	response, err := c.client.Do(req)
	if err != nil {
		a.finish(0, "", err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	reader := io.Reader(response.Body)
	if c.direct && c.random.IntN(10) == 0 {
		reader = slowReader{reader}
	}
	responseBody, err := io.ReadAll(reader)
	a.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	a.echoedID = response.Header.Get("X-Mangoledge-Attempt-Id")
	a.signature = response.Header.Get("X-Mangoledge-Server-Signature")
	a.finish(response.StatusCode, string(responseBody), err)
	return a
}

// complete reports whether the caller received a complete response with status 200.
func (a *gatewayAttempt) complete() bool { return a.done && a.err == nil && a.status == http.StatusOK }

// statesNotRun reports whether the status states that the request did not and will not run.
func (a *gatewayAttempt) statesNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// quotaTokens returns how many tokens of the quota of workspace w1 the attempt uses.
func (a *gatewayAttempt) quotaTokens() int {
	if a.workspace == unlimitedWorkspace {
		return 0
	}
	switch a.route {
	case "/stream/", "/resume/":
		return promptTokens + outputTokens
	case "/open/":
		return 0
	}
	return 10 // configured for requests that declare no tokens
}

// checkStreamEvents returns an error if the events of a stream are wrong: a complete response
// must have each event once and in order, an incomplete one must have the first events in order.
func checkStreamEvents(responseBody string, complete bool) error {
	want := 1
	for _, event := range strings.Split(responseBody, "\n\n") {
		if event == "" {
			continue
		}
		id, data, found := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		n, err := strconv.Atoi(id)
		if !found || err != nil || data != fmt.Sprintf("data: token %d", n) {
			if !complete {
				return nil // the response ended within this event
			}
			return fmt.Errorf("unexpected event: %q", event)
		}
		if n != want {
			return fmt.Errorf("got event %d, expected event %d", n, want)
		}
		want++
	}
	if complete && want != streamEvents+1 {
		return errors.New("a stream that is missing events was received as complete")
	}
	return nil
}
