package config

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// MaxDrains is the most drains that a site may have at once.
	MaxDrains = 1000
	// DrainHostPrefix begins the key of the drain of a host.
	DrainHostPrefix = "host/"
	// DrainUpstreamPrefix begins the key of the drain of an upstream.
	DrainUpstreamPrefix = "upstream/"

	aDrainKey  = "host/<id> or upstream/<id>"
	aDrainedID = "an ID of visible characters, at most 128"
)

var drainedIDPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// Drain keeps new work from a host or an upstream until an operator clears it.
// One of Host and Upstream is set.
type Drain struct {
	Host     ident.Host     `json:"host,omitempty"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
	// Change is the change that asked for the drain.
	Change ident.Change `json:"change,omitempty"`
}

// Key returns the drain's key, "host/<id>" or "upstream/<id>".
func (d *Drain) Key() string {
	if d.Upstream != "" {
		return DrainUpstreamPrefix + string(d.Upstream)
	}
	return DrainHostPrefix + string(d.Host)
}

// id returns the ID of what is drained.
func (d *Drain) id() string {
	return string(d.Host) + string(d.Upstream)
}

// Covers reports whether the drain is about an upstream or the host it is on.
func (d *Drain) Covers(host ident.Host, upstream ident.Upstream) bool {
	if d.Upstream != "" {
		return d.Upstream == upstream
	}
	return d.Host == host
}

// Drained reports whether an upstream or the host it is on is drained.
func (s *Site) Drained(host ident.Host, upstream ident.Upstream) bool {
	return slices.ContainsFunc(s.Drains, func(d Drain) bool { return d.Covers(host, upstream) })
}

var drainKey = rowKey[Drain]{get: func(d *Drain) string { return d.Key() }, make: NewDrain}

// NewDrain makes a drain from its key.
func NewDrain(key string) Drain {
	if id, ok := strings.CutPrefix(key, DrainUpstreamPrefix); ok {
		return Drain{Upstream: ident.Upstream(id)}
	}
	return Drain{Host: ident.Host(strings.TrimPrefix(key, DrainHostPrefix))}
}

// editDrain adds or removes a drain.
func editDrain(e Edit, site *Site) []Fault {
	if !strings.HasPrefix(e.Key, DrainHostPrefix) && !strings.HasPrefix(e.Key, DrainUpstreamPrefix) {
		return []Fault{{Path: string(TableDrain), Value: e.Key, Allowed: aDrainKey}}
	}
	return editRow(e, &site.Drains, nil, drainKey)
}

// nameDrains notes which change asked for the drains that are new.
func nameDrains(site *Site, change ident.Change) {
	for i := range site.Drains {
		if site.Drains[i].Change == "" {
			site.Drains[i].Change = change
		}
	}
}

// drains checks all drains.
func (c *checker) drains(all []Drain) {
	if len(all) > MaxDrains {
		c.add(string(TableDrain), strconv.Itoa(len(all))+" drains", "at most "+strconv.Itoa(MaxDrains)+"; clear those of hosts that are gone")
	}
	for i := range all {
		path := string(TableDrain) + "/" + all[i].Key()
		c.once(path, all[i].Key())
		if !drainedIDPattern.MatchString(all[i].id()) {
			c.add(path, all[i].id(), aDrainedID)
		}
	}
}
