package config

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// MaxDrains is the maximum number of drains of a site.
	MaxDrains = 1000
	// DrainHostPrefix is the key prefix of a host drain.
	DrainHostPrefix = "host/"
	// DrainUpstreamPrefix is the key prefix of an upstream drain.
	DrainUpstreamPrefix = "upstream/"

	allowedDrainKey  = "host/<id> or upstream/<id>"
	allowedDrainedID = "an ID of visible characters, at most 128"
)

var drainedIDPattern = regexp.MustCompile(`^[!-~]{1,128}$`)

// Drain stops new work on a host or an upstream until an operator clears it.
// Exactly one of Host and Upstream is set.
type Drain struct {
	Host     ident.Host     `json:"host,omitempty"`
	Upstream ident.Upstream `json:"upstream,omitempty"`
	// Change is the ID of the change that added the drain.
	Change ident.Change `json:"change,omitempty"`
}

// Key returns the key of the drain: "host/<id>" or "upstream/<id>".
func (d *Drain) Key() string {
	if d.Upstream != "" {
		return DrainUpstreamPrefix + string(d.Upstream)
	}
	return DrainHostPrefix + string(d.Host)
}

// id returns the ID of the drained host or upstream.
func (d *Drain) id() string {
	return string(d.Host) + string(d.Upstream)
}

// Covers reports whether the drain applies to an upstream or to the host that it runs on.
func (d *Drain) Covers(host ident.Host, upstream ident.Upstream) bool {
	if d.Upstream != "" {
		return d.Upstream == upstream
	}
	return d.Host == host
}

// IsDrained reports whether an upstream, or the host that it runs on, is drained.
func (s *Site) IsDrained(host ident.Host, upstream ident.Upstream) bool {
	return slices.ContainsFunc(s.Drains, func(d Drain) bool { return d.Covers(host, upstream) })
}

var drainKey = rowKey[Drain]{get: func(d *Drain) string { return d.Key() }, newRow: NewDrain}

// NewDrain returns a drain with the given key. A key without a known prefix is taken as a host ID.
func NewDrain(key string) Drain {
	if id, ok := strings.CutPrefix(key, DrainUpstreamPrefix); ok {
		return Drain{Upstream: ident.Upstream(id)}
	}
	return Drain{Host: ident.Host(strings.TrimPrefix(key, DrainHostPrefix))}
}

// editDrain adds or removes a drain.
func editDrain(e Edit, site *Site) []Fault {
	if !strings.HasPrefix(e.Key, DrainHostPrefix) && !strings.HasPrefix(e.Key, DrainUpstreamPrefix) {
		return []Fault{{Path: string(TableDrain), Value: e.Key, Allowed: allowedDrainKey}}
	}
	return editRow(e, &site.Drains, nil, drainKey)
}

// setDrainChanges sets Change of the drains that are new.
func setDrainChanges(site *Site, change ident.Change) {
	for i := range site.Drains {
		if site.Drains[i].Change == "" {
			site.Drains[i].Change = change
		}
	}
}

// drains validates the number, the keys and the IDs of all drains.
func (c *checker) drains(all []Drain) {
	if len(all) > MaxDrains {
		c.add(string(TableDrain), strconv.Itoa(len(all))+" drains", "at most "+strconv.Itoa(MaxDrains)+"; clear those of hosts that are gone")
	}
	for i := range all {
		path := string(TableDrain) + "/" + all[i].Key()
		c.unique(path, all[i].Key())
		if !drainedIDPattern.MatchString(all[i].id()) {
			c.add(path, all[i].id(), allowedDrainedID)
		}
	}
}
