// Package site holds the types that describe a deployment to the gateway: its configuration, its
// upstreams, and its requests.
//
// Invariants: a Config does not change once it is published; a route is found by its host and the
// longest matching path prefix.
package site

import (
	"sort"
	"strings"
	"time"
)

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with each change, not necessarily by one.
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	byName map[string]*Workspace
}

// Index builds the lookup tables. It is called once, before the config is published.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.byKey = make(map[string]*Workspace)
	c.byName = make(map[string]*Workspace)
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.byName[w.Name] = w
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Match returns the route for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the workspace that owns the key, or nil.
func (c *Config) ByKey(key string) *Workspace { return c.byKey[key] }

// Workspace returns the workspace with the name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.byName[name] }
