package config

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

const (
	// MaxReplicas is the maximum number of replicas of one model.
	MaxReplicas = 20000
	// MaxPriority is the highest priority.
	MaxPriority = 9
	// MaxShare is the maximum share of a workspace and the maximum worth of a kind.
	MaxShare = 1e6
	// MaxHosts is the maximum number of hosts of one failure domain, host class and market.
	MaxHosts    = 20000
	allowedName = "a name of a-z, A-Z, 0-9, \".\", \"_\" and \"-\", at most 64 characters"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// checker collects the faults of a configuration; seen holds the paths of its rows.
type checker struct {
	faults []Fault
	seen   map[string]bool
}

// Validate returns all faults of site.
func Validate(site *Site) []Fault {
	c := &checker{seen: make(map[string]bool)}
	for _, m := range site.Models {
		c.model(m)
	}
	for _, s := range site.Services {
		c.name("service", string(s.Name))
	}
	for _, w := range site.Workspaces {
		path := c.name("workspace", string(w.Name))
		c.number(path+"/share", w.Share, math.SmallestNonzeroFloat64, MaxShare)
		c.integer(path+"/maxInFlight", w.MaxInFlight, math.MaxInt32)
	}
	for _, k := range site.Kinds {
		path := c.name("kind", string(k.Name))
		c.number(path+"/worth", k.Worth, 0, MaxShare)
	}
	for _, row := range site.Capacity {
		c.capacity(row)
	}
	c.drains(site.Drains)
	c.number("weights/latency", site.Weights.Latency, 0, 1)
	return c.faults
}

func (c *checker) model(m Model) {
	path := c.name("model", string(m.Name))
	if m.Version != "" {
		c.pattern(path+"/version", string(m.Version))
	}
	if m.Role != "" {
		c.pattern(path+"/role", string(m.Role))
	}
	for _, a := range m.Adapters {
		c.pattern(path+"/adapters", string(a))
	}
	c.integer(path+"/replicas", m.Replicas, MaxReplicas)
	c.integer(path+"/priority", m.Priority, MaxPriority)
}

func (c *checker) capacity(row Capacity) {
	path := "capacity/" + row.key()
	c.unique(path, row.key())
	c.pattern(path, string(row.FailureDomain))
	c.pattern(path, string(row.HostClass))
	c.integer(path+"/maxHosts", row.MaxHosts, MaxHosts)
	c.number(path+"/maxPricePerHour", row.MaxPricePerHour, 0, math.MaxFloat64)
}

// name validates the name of a row and returns the path of the row.
func (c *checker) name(table, name string) string {
	path := table + "/" + name
	c.pattern(path, name)
	c.unique(path, name)
	return path
}

// unique reports a fault when path was already seen.
func (c *checker) unique(path, value string) {
	if c.seen[path] {
		c.add(path, value, "a name that is there once")
	}
	c.seen[path] = true
}

// pattern validates value as a name.
func (c *checker) pattern(path, value string) {
	if !namePattern.MatchString(value) {
		c.add(path, value, allowedName)
	}
}

// integer validates that value is between 0 and maximum.
func (c *checker) integer(path string, value, maximum int) {
	if value < 0 || value > maximum {
		c.add(path, strconv.Itoa(value), fmt.Sprintf("a whole number from 0 to %d", maximum))
	}
}

// number validates that value is between minimum and maximum.
func (c *checker) number(path string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) { // also true for NaN
		c.add(path, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("a number from %g to %g", minimum, maximum))
	}
}

func (c *checker) add(path, value, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: value, Allowed: allowed})
}
