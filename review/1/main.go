//go:build review

// Command case-1 stops the machines of a site one after the other, as for an update, while clients use
// streams of some seconds.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/review/lab"
)

const (
	nodes   = 6
	zones   = 3
	clients = 120
	// rolls is how often all machines are stopped in turn, each gap after the one before.
	rolls    = 3
	gap      = time.Second
	rollTime = 24 * time.Second
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 500 * time.Millisecond
	// deadline is that of the clients' streams; the route's timeout is the same.
	deadline = 15 * time.Second
	// eventPause is the pause between two events of a stream; 300 ms are allowed.
	eventPause = 50
	minEvents  = 20
	maxEvents  = 180
	// ttl is how long a directory's answer is kept; every third client keeps it three times as long.
	ttl = time.Second
)

// sent is a request and the node that took it.
type sent struct {
	lab.Result
	node *lab.Node
}

type scene struct {
	site *lab.Site
	stop chan struct{}

	mu       sync.Mutex
	requests []sent
	// terms holds the times of the SIGTERMs, by node name.
	terms map[string][]time.Time
}

func main() {
	s, err := lab.NewSite(os.Args[1], nodes, zones, 3)
	if err != nil {
		lab.Finish(s, 2, fmt.Sprint("couldn't start: ", err))
	}
	c := &scene{site: s, stop: make(chan struct{}), terms: map[string][]time.Time{}}
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { c.client(i) })
	}
	time.Sleep(3 * time.Second)
	for range rolls {
		c.roll()
	}
	close(c.stop)
	all.Wait()
	c.judge()
}

// roll stops the machines in turn; each process is restarted after its end.
func (c *scene) roll() {
	began := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		for _, i := range rand.Perm(nodes) {
			n := c.site.Nodes[i]
			c.mu.Lock()
			c.terms[n.Name] = append(c.terms[n.Name], time.Now())
			c.mu.Unlock()
			n.Signal(syscall.SIGTERM)
			go func() {
				select {
				case <-n.Ended():
				case <-time.After(lab.GraceS * time.Second):
					n.Signal(syscall.SIGKILL)
					<-n.Ended()
				}
				time.Sleep(restartDelay)
				_ = n.Start(false)
			}()
			time.Sleep(gap)
		}
	}
	time.Sleep(rollTime - time.Since(began))
}

// client sends one stream after the other. It asks directories where to connect, as the page says.
func (c *scene) client(number int) {
	zone := "z" + string(rune('a'+number%zones))
	keep := ttl
	if number%3 == 0 {
		keep = 3 * ttl
	}
	var addresses []string
	var asked time.Time
	var conn *lab.Conn
	var node *lab.Node
	failed := map[string]bool{}
	for k := 0; ; k++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+rand.IntN(200)) * time.Millisecond):
		}
		if time.Since(asked) > keep {
			if got := c.resolve(zone); len(got) > 0 {
				addresses, asked, failed = got, time.Now(), map[string]bool{}
			}
		}
		if conn != nil && !contains(addresses, node.Address(lab.FrontPort)) {
			conn.Close()
			conn = nil
		}
		if conn == nil {
			if conn, node = c.connect(addresses, failed); conn == nil {
				continue
			}
		}
		events := minEvents + rand.IntN(maxEvents-minEvents)
		r := conn.Send("POST", fmt.Sprintf("/walk/s/%d/%d", events, eventPause), fmt.Sprintf("c%d-%d", number, k), lab.Key, deadline)
		c.mu.Lock()
		c.requests = append(c.requests, sent{r, node})
		c.mu.Unlock()
		if !r.Complete || r.Close {
			conn.Close()
			conn = nil
		}
	}
}

// resolve asks up to three directories, the nearest first.
func (c *scene) resolve(zone string) []string {
	var order []*lab.Node
	for _, i := range rand.Perm(nodes) {
		n := c.site.Nodes[i]
		if n.Zone == zone {
			order = append([]*lab.Node{n}, order...)
		} else {
			order = append(order, n)
		}
	}
	for _, n := range order[:3] {
		if got := lab.Resolve(n, zone); len(got) > 0 {
			return got
		}
	}
	return nil
}

// connect picks an address at random that has not failed.
func (c *scene) connect(addresses []string, failed map[string]bool) (*lab.Conn, *lab.Node) {
	for _, i := range rand.Perm(len(addresses)) {
		if failed[addresses[i]] {
			continue
		}
		conn, err := lab.Dial(addresses[i], c.site.Log)
		if err != nil {
			failed[addresses[i]] = true
			continue
		}
		for _, n := range c.site.Nodes {
			if n.Address(lab.FrontPort) == addresses[i] {
				return conn, n
			}
		}
	}
	return nil, nil
}

func contains(list []string, x string) bool {
	for _, e := range list {
		if e == x {
			return true
		}
	}
	return false
}

// judge applies LOST to all requests around a SIGTERM of the machine that took them.
func (c *scene) judge() {
	runs := map[string]lab.Run{}
	for _, r := range c.site.Replicas {
		for _, run := range r.Runs() {
			runs[run.Attempt] = run
		}
	}
	grace := lab.GraceS * time.Second
	lost, excused, served := 0, 0, 0
	for _, q := range c.requests {
		if q.Complete {
			served++
			continue
		}
		run, ran := runs[q.Attempt]
		if !ran || q.Ended.Sub(q.Sent) >= deadline-100*time.Millisecond {
			continue // not passed on, or the deadline was reached
		}
		counted := false
		var after time.Duration
		for _, term := range c.terms[q.node.Name] {
			if q.Ended.Before(term) || q.Ended.After(term.Add(grace+time.Second)) {
				continue
			}
			after = q.Sent.Sub(term)
			// Still at work in the last sixth of grace_s, and sent no later than 3 s after the SIGTERM.
			if after <= 3*time.Second && run.Until.After(term.Add(grace*5/6)) {
				excused++
				continue
			}
			counted = true
		}
		if counted {
			lost++
			c.site.Log.Printf("LOST %s at %s: sent %.3f s after the SIGTERM, ended without a complete answer after %.3f s", q.Attempt, q.node.Name, after.Seconds(), q.Ended.Sub(q.Sent).Seconds())
		}
	}
	verdict := fmt.Sprintf("%d requests, %d served whole, %d cut and excused, %d lost", len(c.requests), served, excused, lost)
	if served == 0 {
		lab.Finish(c.site, 2, verdict)
	}
	if lost > 0 {
		lab.Finish(c.site, 1, "LOST is broken: "+verdict)
	}
	lab.Finish(c.site, 0, verdict)
}
