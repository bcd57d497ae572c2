//go:build review

package lab

import (
	"fmt"
	"os"
	"time"
)

// Site is a small deployment: a store, the API for duties, replicas and nodes.
type Site struct {
	Log      *Log
	Network  string
	Store    *Store
	Cloud    *Cloud
	Replicas []*Replica
	Nodes    []*Node
	dir      string
}

// Key is the API key of the site's only tenant.
const Key = "key-of-tenant"

// Config returns a configuration with a route of each kind.
func Config(version int) map[string]any {
	route := func(name, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeoutMs,
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "resumable": resumable, "target_gap_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("upload", "non_idempotent", "portal", 4000, 1, false),
			route("fetch", "idempotent", "portal", 4000, 2, false),
			route("walk", "streaming", "pool", 15000, 1, false),
		},
		"services": []any{
			map[string]any{"name": "portal", "health_path": "/healthz", "max_conns": 100},
			map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 490},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": []string{Key}, "priority": 1}},
	}
}

// NewSite starts a deployment with the given number of nodes, in zones, and of replicas of each
// service, and waits until it serves.
func NewSite(record string, nodes, zones, replicas int) (*Site, error) {
	log, err := NewLog(record)
	if err != nil {
		return nil, err
	}
	s := &Site{Log: log}
	s.closeOnSignal()
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return s, err
	}
	if s.Network, err = FreeNetwork(); err != nil {
		return s, err
	}
	if s.Store, err = NewStore(s.Network+".250", log); err != nil {
		return s, err
	}
	if s.Cloud, err = NewCloud(s.Network+".251", log); err != nil {
		return s, err
	}
	for i := range 2 * replicas {
		service := "portal"
		if i >= replicas {
			service = "pool"
		}
		r, err := NewReplica(fmt.Sprintf("i-%s-%d", service, i), service, "z"+string(rune('a'+i%zones)), s.Network+".252", log)
		if err != nil {
			return s, err
		}
		s.Replicas = append(s.Replicas, r)
		s.Beat(r, "ready")
	}
	s.Store.Put("config", "main", Config(4))
	for i := range nodes {
		n := NewNode(i, s.Network, s.dir, s.Store.Address, s.Cloud.Address, zones, log)
		s.Nodes = append(s.Nodes, n)
		if err := n.Start(true); err != nil {
			return s, err
		}
	}
	if err := WaitReady(s.Nodes, 15*time.Second); err != nil {
		return s, err
	}
	time.Sleep(2 * time.Second) // the nodes hear from each other
	return s, nil
}

// Beat writes a replica's entry. The entry changes only when more than seq does, so beats without
// another change are left out.
func (s *Site) Beat(r *Replica, state string) {
	s.Store.Put("servers", r.ID, EntryOf(r.Service, r.Address, r.Zone, state, 96, 1, r.Born))
}

// Close ends all processes and stand-ins. With keep, the nodes' logs stay.
func (s *Site) Close(keep bool) {
	for _, n := range s.Nodes {
		n.Stop()
	}
	for _, r := range s.Replicas {
		r.Close()
	}
	if s.Store != nil {
		s.Store.Close()
	}
	if s.Cloud != nil {
		s.Cloud.Close()
	}
	s.Log.Close()
	if s.dir != "" && !keep {
		_ = os.RemoveAll(s.dir)
	}
	if keep {
		fmt.Println("logs of the nodes:", s.dir)
	}
}

// Finish ends the case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
func Finish(s *Site, code int, verdict string) {
	if s != nil {
		s.Log.Printf("verdict: %s (exit %d)", verdict, code)
		s.Close(os.Getenv("KEEP") != "")
	}
	fmt.Println(verdict)
	os.Exit(code)
}
