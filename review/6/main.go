//go:build review

// Command 6 is a case of the review; see claim.txt.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/review/kit2"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		kit2.ReplicaMain(os.Args[2:])
		return
	}
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("the rule was broken", broken, "times")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

const (
	replicas = 6
	// requests is the number of streams, of which unframed come without a length and chunks.
	requests = 60
	unframed = 3
	events   = 40
	gapMs    = 120
)

func run(folder string, trouble bool) (broken int, err error) {
	record, err := kit2.NewRecord(folder + "/record.txt")
	if err != nil {
		return 0, err
	}
	site, err := kit2.NewSite(3)
	if err != nil {
		return 0, err
	}
	defer site.StopAll()
	site.Store.Put("config", "main", kit2.Config(1))
	var all []*kit2.Replica
	start := func(i int) error {
		r, err := kit2.StartReplica(site, fmt.Sprintf("i-%d", i+1), "app", string(rune('a'+i%3)), 64)
		if err == nil {
			all = append(all, r)
		}
		return err
	}
	defer func() {
		for _, r := range all {
			r.Kill()
		}
	}()
	for i := range replicas {
		if err := start(i); err != nil {
			return 0, err
		}
	}
	if err := site.StartAll(); err != nil {
		return 0, err
	}
	if err := site.WaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	record.Say("3 nodes are ready, %d replicas; trouble: %v", replicas, trouble)
	var wg sync.WaitGroup
	answers := make([]*kit2.Answer, requests)
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 8 * time.Millisecond)
			record.Say("client sends %s: a stream of %d events, framing %s", idOf(i), events, framingOf(i))
			answers[i] = kit2.Send(site.Nodes[i%3].Front(), "/stream/x", idOf(i), "prompt of "+idOf(i), 14*time.Second,
				kit2.Ask{Events: events, GapMs: gapMs, Framing: framingOf(i)})
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	leaver := runsFirst(all)
	if leaver == nil {
		return 0, errors.New("no replica runs the first stream")
	}
	record.Say("replica %s is replaced as planned: a new one starts, then it reports draining", leaver.ID)
	if err := start(replicas); err != nil {
		return 0, err
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("CRASH_ONLY") == "" {
		leaver.Signal(syscall.SIGUSR1)
	}
	time.Sleep(1300 * time.Millisecond)
	if trouble {
		record.Say("replica %s crashes: its process is killed", leaver.ID)
		leaver.Kill()
	}
	wg.Wait()
	record.SayReplica(all...)
	served := 0
	for i, a := range answers {
		id := idOf(i)
		got := strings.Count(a.Body, "data: ")
		whole := a.Body == wholeStream(id)
		record.Say("client got %s: status %d, signature %q, framing %s, events %d of %d, looks complete: %v, error: %v",
			id, a.Status, a.Header.Get("X-Mangoledge-Server-Signature"), a.Framing, got, events, a.Complete(), a.Err)
		if a.Status/100 == 2 && a.Complete() && !whole {
			broken++
			record.Say("BROKEN: %s ends as complete after event %d of %d", id, got, events)
		}
		if whole {
			served++
		}
	}
	record.Say("served whole: %d of %d; broken: %d", served, requests, broken)
	if served < requests/2 {
		return 0, fmt.Errorf("too few served: %d", served)
	}
	return broken, nil
}

// runsFirst returns the replica that runs the first of the streams without framing, or nil.
func runsFirst(all []*kit2.Replica) *kit2.Replica {
	for _, r := range all {
		if r.Count("runs", idOf(0)) > 0 {
			return r
		}
	}
	return nil
}

// framingOf spreads the streams without framing over the others.
func framingOf(i int) string {
	if i%(requests/unframed) == 0 {
		return "connection"
	}
	return "chunks"
}

func idOf(i int) string { return fmt.Sprintf("req-%02d", i) }

func wholeStream(id string) string {
	out := ""
	for i := 1; i <= events; i++ {
		out += kit2.EventOf(id, i, events)
	}
	return out
}
