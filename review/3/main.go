//go:build review

// Command case-3 kills the processes that watch the store, three of six, while replicas leave.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/review/lab"
)

const (
	nodes    = 6
	zones    = 3
	replicas = 18
	// leavers is how many replicas leave in each round.
	leavers = 2
	rounds  = 8
	// drain is drain_ms, contact is contact_ms.
	drain   = 2 * time.Second
	contact = 3 * time.Second
	// darkFor is the time from a kill to the restart.
	darkFor = 2 * time.Second
	// At each node clients send batch requests at once, every batchEvery; a round lasts for four times
	// that. The kills come killAfter after a batch, and the removal of the leavers' entries leaveAfter
	// after the kills.
	batch      = 12
	batchEvery = 2900 * time.Millisecond
	killAfter  = 400 * time.Millisecond
	leaveAfter = 100 * time.Millisecond
	deadline   = 4 * time.Second
)

type leave struct {
	replica *lab.Replica
	removed time.Time
}

type scene struct {
	site *lab.Site

	mu      sync.Mutex
	results map[string]lab.Result
	node    map[string]string
	kills   map[string][]time.Time
	leaves  []leave
	wg      sync.WaitGroup
}

func main() {
	s, err := lab.NewSite(os.Args[1], nodes, zones, replicas)
	if err != nil {
		lab.Finish(s, 2, fmt.Sprint("couldn't start: ", err))
	}
	c := &scene{site: s, results: map[string]lab.Result{}, node: map[string]string{}, kills: map[string][]time.Time{}}
	c.batch("warm")
	time.Sleep(batchEvery)
	for i := range rounds {
		c.round(i)
	}
	c.wg.Wait()
	c.judge()
}

// round sends four batches. Between the first two it kills the watchers of the store, and lets replicas
// leave that never report draining: their entries are removed, and they go on serving.
func (c *scene) round(number int) {
	began := time.Now()
	c.batch(fmt.Sprintf("r%d-0", number))
	time.Sleep(time.Until(began.Add(killAfter)))
	if os.Getenv("TROUBLE") != "0" {
		c.killWatchers()
	}
	time.Sleep(leaveAfter)
	gone := c.site.Replicas[number*leavers : (number+1)*leavers]
	for _, r := range gone {
		r.Leave()
		c.site.Store.Remove("servers", r.ID)
		c.site.Log.Printf("%s leaves, its entry is removed", r.ID)
		c.leaves = append(c.leaves, leave{r, time.Now()})
	}
	for i := 1; i < 4; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * batchEvery)))
		c.batch(fmt.Sprintf("r%d-%d", number, i))
	}
	time.Sleep(time.Until(began.Add(4 * batchEvery)))
	for _, r := range gone {
		r.Close()
	}
}

// killWatchers kills the processes whose logs say that they follow the store.
func (c *scene) killWatchers() {
	for _, n := range c.site.Nodes {
		if !n.LogSaysLast("following the store", "following other nodes") {
			continue
		}
		c.mu.Lock()
		c.kills[n.Name] = append(c.kills[n.Name], time.Now())
		c.mu.Unlock()
		n.Signal(syscall.SIGKILL)
		c.wg.Go(func() {
			<-n.Ended()
			time.Sleep(darkFor)
			_ = n.Start(false)
		})
	}
}

// batch lets clients send requests to each node that is ready, all at once.
func (c *scene) batch(name string) {
	for i, n := range c.site.Nodes {
		for k := range batch {
			c.wg.Go(func() { c.send(n, fmt.Sprintf("%s-%d-%d", name, i, k)) })
		}
	}
}

func (c *scene) send(n *lab.Node, attempt string) {
	conn, err := lab.Dial(n.Address(lab.FrontPort), c.site.Log)
	if err != nil {
		return
	}
	defer conn.Close()
	r := conn.Send("GET", "/fetch/w/60", attempt, lab.Key, deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[attempt], c.node[attempt] = r, n.Name
}

// inTouch reports whether a node's process ran for the contact_ms before a moment.
func (c *scene) inTouch(node string, at time.Time) bool {
	return !slices.ContainsFunc(c.kills[node], func(k time.Time) bool { return k.Before(at) && at.Sub(k) < darkFor+contact })
}

// judge applies DRAIN: a request reaches a replica later than drain_ms after the store acknowledged that
// it is gone, sent by a machine in touch.
func (c *scene) judge() {
	broken, answered := 0, 0
	for _, r := range c.results {
		if r.Complete && r.Status == 200 {
			answered++
		}
	}
	for _, l := range c.leaves {
		for _, run := range l.replica.Runs() {
			node := c.node[run.Attempt]
			if run.Rejected || !run.At.After(l.removed.Add(drain)) || !c.inTouch(node, run.At) {
				continue
			}
			broken++
			c.site.Log.Printf("DRAIN: %s reaches %s from %s %.3f s after its entry was removed", run.Attempt, l.replica.ID, node, run.At.Sub(l.removed).Seconds())
		}
	}
	killed := []string{}
	for name, k := range c.kills {
		killed = append(killed, fmt.Sprintf("%s %d", name, len(k)))
	}
	verdict := fmt.Sprintf("%d requests answered; %d replicas left; kills: %s; %d requests of machines in touch came later than drain_ms", answered, len(c.leaves), strings.Join(killed, ", "), broken)
	switch {
	case answered == 0 || (os.Getenv("TROUBLE") != "0" && len(killed) == 0):
		lab.Finish(c.site, 2, verdict)
	case broken > 0:
		lab.Finish(c.site, 1, "DRAIN is broken: "+verdict)
	}
	lab.Finish(c.site, 0, verdict)
}
