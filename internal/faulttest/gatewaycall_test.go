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
	// streamEvents is how many events a stand-in's stream has.
	streamEvents = 12
	// soakDeadline is how long a caller waits for an answer.
	soakDeadline = 2500 * time.Millisecond
	// soakTimeoutMargin is how much longer it waits for the end of a connection that is silent.
	soakTimeoutMargin = 1500 * time.Millisecond
	// rejectedPause is how long a caller that was refused leaves the site alone.
	rejectedPause = 50 * time.Millisecond
	// maxCallerNodes bounds the nodes that a caller uses: connections of all callers to all
	// nodes of a large site would not fit one process.
	maxCallerNodes = 16
	// promptTokens and outputTokens are what a stream says it needs. All callers
	// together ask for more than the workspace's quota, so that it is in play.
	promptTokens = 2800
	outputTokens = 200
)

// maxRunsByRoute are the routes that callers use, by how many replicas one attempt may reach.
var maxRunsByRoute = map[string]int{"/once/": 1, "/again/": 2, "/stream/": 1, "/resume/": 2}

// attemptCounter counts the attempts of this test process.
var attemptCounter atomic.Int64

// gatewayAttempt is one attempt of a caller and what it got.
type gatewayAttempt struct {
	id     string
	route  string
	node   string
	body   string
	sentAt time.Time

	mu sync.Mutex
	// done is false while the caller waits.
	done         bool
	status       int
	responseBody string
	// echoedID and signature are what the answer's headers say.
	echoedID, signature string
	// err is why the answer is not whole.
	err error
}

func (s *gatewaySite) newAttempt(n *gatewayNode, route string) *gatewayAttempt {
	a := &gatewayAttempt{id: fmt.Sprintf("attempt-%d", attemptCounter.Add(1)), route: route, node: n.settings.Name, sentAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	return a
}

func (a *gatewayAttempt) finish(status int, responseBody string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.status, a.responseBody, a.err = true, status, responseBody, err
}

// gatewayCaller sends one request after the other, over connections that it keeps.
type gatewayCaller struct {
	site *gatewaySite
	// nodes are those it sends to.
	nodes  []*gatewayNode
	client *http.Client
	random *rand.Rand
}

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

// run sends until stop is closed.
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

// send makes one attempt through the node's link. The transport sends a request again
// by itself only over a connection that broke before it was written; the ID stays the
// same then, so a second run of it would be seen.
func (c *gatewayCaller) send(n *gatewayNode, route string) *gatewayAttempt {
	return c.sendBody(n, route, "")
}

// sendBody sends a body of its own, or one that names the attempt.
func (c *gatewayCaller) sendBody(n *gatewayNode, route, body string) *gatewayAttempt {
	a := c.site.newAttempt(n, route)
	a.body = body
	if body == "" {
		a.body = "body of " + a.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline+soakTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontLink.address+route+"x", io.NopCloser(strings.NewReader(a.body)))
	if err != nil {
		a.finish(0, "", err)
		return a
	}
	req.ContentLength = int64(len(a.body))
	req.Host = "site.example"
	req.Header.Set("X-Mangoledge-Attempt-Id", a.id)
	req.Header.Set("X-Mangoledge-Deadline-Ms", fmt.Sprint(soakDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+platformtest.WorkspaceKey)
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
	responseBody, err := io.ReadAll(response.Body)
	a.echoedID = response.Header.Get("X-Mangoledge-Attempt-Id")
	a.signature = response.Header.Get("X-Mangoledge-Server-Signature")
	a.finish(response.StatusCode, string(responseBody), err)
	return a
}

// complete reports whether the caller has a complete success.
func (a *gatewayAttempt) complete() bool { return a.done && a.err == nil && a.status == http.StatusOK }

// statesNotRun reports whether the caller was told that the request did not and will not run.
func (a *gatewayAttempt) statesNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// quotaTokens is what the attempt takes off the workspace's quota.
func (a *gatewayAttempt) quotaTokens() int {
	switch a.route {
	case "/stream/", "/resume/":
		return promptTokens + outputTokens
	case "/open/":
		return 0
	}
	return 10 // what the configuration says of requests without tokens
}

// checkStreamEvents reports what is wrong with the events of a stream: all of them must be
// there once and in order in a whole answer, and those of a broken one must be the first ones.
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
				return nil // it was broken off within this event
			}
			return fmt.Errorf("an event that no replica sent: %q", event)
		}
		if n != want {
			return fmt.Errorf("event %d stands where %d is due", n, want)
		}
		want++
	}
	if complete && want != streamEvents+1 {
		return errors.New("a stream that ends early looks complete")
	}
	return nil
}
