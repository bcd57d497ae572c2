//go:build review

// Command case-2 restarts the machines of a site one after the other, and the platform's store has a
// drill meanwhile: it is away for a moment and comes back from a copy some seconds old.
package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/review/lab"
)

const (
	nodes = 6
	zones = 3
	// gap is the time between two SIGTERMs, restartDelay that from a process's end to its restart.
	gap          = time.Second
	restartDelay = 500 * time.Millisecond
	// window is window_s. The holder of the duties gets its SIGTERM at termPhase of a window, as the
	// last machine, and the store comes back at backPhase.
	window    = 5 * time.Second
	termPhase = 1300 * time.Millisecond
	backPhase = 2350 * time.Millisecond
	// copyAge is how old the copy is that the store comes back from.
	copyAge  = 5300 * time.Millisecond
	deadline = 4 * time.Second
)

type scene struct {
	site *lab.Site
	stop chan struct{}

	mu sync.Mutex
	// armed is true once the last machine was stopped.
	armed   bool
	holder  string
	drilled bool
	began   chan struct{}
	copies  []timedCopy
}

type timedCopy struct {
	at   time.Time
	copy *lab.Copy
}

func main() {
	s, err := lab.NewSite(os.Args[1], nodes, zones, 3)
	if err != nil {
		lab.Finish(s, 2, fmt.Sprint("couldn't start: ", err))
	}
	c := &scene{site: s, stop: make(chan struct{}), began: make(chan struct{})}
	if os.Getenv("TROUBLE") != "0" {
		s.Store.OnWrite = c.onWrite
	}
	var all sync.WaitGroup
	for i, n := range s.Nodes {
		all.Go(func() { c.client(n, fmt.Sprintf("c%d", i)) })
	}
	all.Go(c.copyOften)
	time.Sleep(13 * time.Second)
	go c.roll()
	select {
	case <-c.began:
		c.drill()
	case <-time.After(20 * time.Second):
	}
	time.Sleep(20 * time.Second)
	close(c.stop)
	all.Wait()
	c.judge()
}

// untilPhase returns the time until the next moment with the given phase of a window, at least least.
func untilPhase(phase, least time.Duration) time.Duration {
	now := time.Duration(time.Now().UnixNano()) % window
	out := (phase - now + window) % window
	for out < least {
		out += window
	}
	return out
}

// holderNode returns the node that holds the duties.
func (c *scene) holderNode() string {
	o := c.site.Store.Objects("leases")["gateway-duties"]
	return holderOf(o.Spec)
}

func holderOf(spec json.RawMessage) string {
	var record struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(spec, &record) != nil {
		return ""
	}
	node, _, _ := strings.Cut(record.Holder, "@")
	return node
}

// roll restarts the machines in turn, the holder of the duties last.
func (c *scene) roll() {
	time.Sleep(untilPhase(termPhase, time.Duration(nodes-1)*gap) - time.Duration(nodes-1)*gap)
	holder := c.holderNode()
	order := []*lab.Node{}
	var last *lab.Node
	for _, i := range rand.Perm(nodes) {
		if c.site.Nodes[i].Name == holder {
			last = c.site.Nodes[i]
			continue
		}
		order = append(order, c.site.Nodes[i])
	}
	for _, n := range append(order, last) {
		if n == nil {
			continue
		}
		n.Signal(syscall.SIGTERM)
		if n == last {
			c.mu.Lock()
			c.armed = true
			c.mu.Unlock()
		}
		go func() {
			<-n.Ended()
			time.Sleep(restartDelay)
			_ = n.Start(false)
		}()
		time.Sleep(gap)
	}
}

// onWrite starts the drill once another machine has taken over the duties from the last one.
func (c *scene) onWrite(kind, name string, spec json.RawMessage) (away bool) {
	if kind != "leases" || name != "gateway-duties" || holderOf(spec) == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := holderOf(spec) != c.holder
	c.holder = holderOf(spec)
	if !taken || !c.armed || c.drilled {
		return false
	}
	c.drilled = true
	close(c.began)
	return true
}

// drill ends the store's absence.
func (c *scene) drill() {
	c.site.Log.Printf("drill: the store is away")
	time.Sleep(untilPhase(backPhase, 300*time.Millisecond))
	c.mu.Lock()
	back := c.copies[0]
	for _, k := range c.copies {
		if time.Since(k.at) >= copyAge {
			back = k
		}
	}
	c.mu.Unlock()
	c.site.Log.Printf("drill: the store is back from a copy %.1f s old", time.Since(back.at).Seconds())
	c.site.Store.ComeBack(back.copy)
	time.Sleep(100 * time.Millisecond)
	c.site.Store.ExecuteLate()
}

// copyOften keeps copies of the store.
func (c *scene) copyOften() {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		k := timedCopy{time.Now(), c.site.Store.Copy()}
		c.mu.Lock()
		if !c.drilled {
			c.copies = append(c.copies, k)
		}
		c.mu.Unlock()
	}
}

// client sends short requests to one node while it is ready.
func (c *scene) client(n *lab.Node, name string) {
	var conn *lab.Conn
	for k := 0; ; k++ {
		select {
		case <-c.stop:
			return
		case <-time.After(80 * time.Millisecond):
		}
		if conn == nil {
			if !n.Ready() {
				continue
			}
			var err error
			if conn, err = lab.Dial(n.Address(lab.FrontPort), c.site.Log); err != nil {
				conn = nil
				continue
			}
		}
		r := conn.Send("GET", "/fetch/w/20", fmt.Sprintf("%s-%d", name, k), lab.Key, deadline)
		if !r.Complete || r.Close {
			conn.Close()
			conn = nil
		}
	}
}

// judge applies ONE: the platform accepts two usage reports for one window with different counts.
func (c *scene) judge() {
	first := map[int64]lab.Report{}
	broken := 0
	for _, r := range c.site.Cloud.Reports() {
		before, known := first[r.Window]
		if !known {
			first[r.Window] = r
			continue
		}
		if !maps.Equal(before.Counts, r.Counts) {
			broken++
			c.site.Log.Printf("ONE: window %d was reported by %s with %v and by %s with %v", r.Window, before.Holder, before.Counts, r.Holder, r.Counts)
		}
	}
	c.mu.Lock()
	drilled := c.drilled
	c.mu.Unlock()
	verdict := fmt.Sprintf("%d windows reported, %d reports that differ from the first of their window, drill: %t", len(first), broken, drilled)
	switch {
	case len(first) < 3 || (os.Getenv("TROUBLE") != "0" && !drilled):
		lab.Finish(c.site, 2, verdict)
	case broken > 0:
		lab.Finish(c.site, 1, "ONE is broken: "+verdict)
	}
	lab.Finish(c.site, 0, verdict)
}
