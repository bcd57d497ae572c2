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
	// soakPatience is how much longer it waits for the end of a connection that is silent.
	soakPatience = 1500 * time.Millisecond
	// refusedPause is how long a caller that was refused leaves the site alone.
	refusedPause = 50 * time.Millisecond
	// callerNodes bounds the nodes that a caller uses: connections of all callers to all
	// nodes of a large site would not fit one process.
	callerNodes = 16
	// promptTokens and outputTokens are what a stream says it needs. All callers
	// together ask for more than the workspace's quota, so that it is in play.
	promptTokens = 2800
	outputTokens = 200
)

// gatewayKinds are the routes that callers use, by how many replicas one attempt may reach.
var gatewayKinds = map[string]int{"/once/": 1, "/again/": 2, "/stream/": 1, "/resume/": 2}

// attemptNumber counts the attempts of this test process.
var attemptNumber atomic.Int64

// gatewayAttempt is one attempt of a caller and what it got.
type gatewayAttempt struct {
	id    string
	route string
	node  string
	body  string
	sent  time.Time

	mu sync.Mutex
	// ended is false while the caller waits.
	ended  bool
	status int
	answer string
	// echoed and signed are what the answer's headers say.
	echoed, signed string
	// err is why the answer is not whole.
	err error
}

func (s *gatewaySite) newAttempt(n *gatewayNode, route string) *gatewayAttempt {
	a := &gatewayAttempt{id: fmt.Sprintf("attempt-%d", attemptNumber.Add(1)), route: route, node: n.settings.Name, sent: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	return a
}

func (a *gatewayAttempt) end(status int, answer string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended, a.status, a.answer, a.err = true, status, answer, err
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
	if len(nodes) > callerNodes {
		first := int(number) * callerNodes % len(nodes)
		nodes = slices.Concat(nodes, nodes)[first : first+callerNodes]
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
		if a := c.send(node, routes[c.random.IntN(len(routes))]); a.promised() {
			pause += refusedPause
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
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline+soakPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front.address+route+"x", io.NopCloser(strings.NewReader(a.body)))
	if err != nil {
		a.end(0, "", err)
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
		req.Header.Set("X-Mangoledge-Prefix-Hash", fmt.Sprintf("aa:2000,bb:500,%x:300", attemptNumber.Load()))
	}
	response, err := c.client.Do(req)
	if err != nil {
		a.end(0, "", err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	a.echoed = response.Header.Get("X-Mangoledge-Attempt-Id")
	a.signed = response.Header.Get("X-Mangoledge-Server-Signature")
	a.end(response.StatusCode, string(answer), err)
	return a
}

// whole reports whether the caller has a complete success.
func (a *gatewayAttempt) whole() bool { return a.ended && a.err == nil && a.status == http.StatusOK }

// promised reports whether the caller was told that the request did not and will not run.
func (a *gatewayAttempt) promised() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// tokens is what the attempt takes off the workspace's quota.
func (a *gatewayAttempt) tokens() int {
	switch a.route {
	case "/stream/", "/resume/":
		return promptTokens + outputTokens
	case "/open/":
		return 0
	}
	return 10 // what the configuration says of requests without tokens
}

// checkEvents reports what is wrong with the events of a stream: all of them must be
// there once and in order in a whole answer, and those of a broken one must be the first ones.
func checkEvents(answer string, whole bool) error {
	want := 1
	for _, event := range strings.Split(answer, "\n\n") {
		if event == "" {
			continue
		}
		id, data, found := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		n, err := strconv.Atoi(id)
		if !found || err != nil || data != fmt.Sprintf("data: token %d", n) {
			if !whole {
				return nil // it was broken off within this event
			}
			return fmt.Errorf("an event that no replica sent: %q", event)
		}
		if n != want {
			return fmt.Errorf("event %d stands where %d is due", n, want)
		}
		want++
	}
	if whole && want != streamEvents+1 {
		return errors.New("a stream that ends early looks complete")
	}
	return nil
}
