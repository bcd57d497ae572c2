package rollout

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// latencyBuckets is the number of buckets of a latency histogram. The first holds all below
	// firstBucket; each further one begins at twice the latency of the one before.
	latencyBuckets = 11
	firstBucket    = 20 * time.Millisecond
	// routeGroups is the number of groups that the routes are hashed into, so that what nodes tell
	// each other does not grow with the configuration.
	routeGroups = 16
)

// Counts is what the upstreams of one version answered to one group of routes.
type Counts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec: a list in place of a map halves a message
	// Answers counts the requests that ended, Failures those that failed.
	Answers  uint32 `msgpack:"a"`
	Failures uint32 `msgpack:"f"`
	// Latencies counts times to the first event by bucket; empty buckets at the end are left out.
	Latencies []uint32 `msgpack:"l"`
}

// add adds other to c.
func (c *Counts) add(other *Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for i := range min(len(other.Latencies), latencyBuckets) {
		c.addLatencies(i, other.Latencies[i])
	}
}

// addLatencies adds n latencies to a bucket.
func (c *Counts) addLatencies(bucket int, n uint32) {
	for len(c.Latencies) <= bucket {
		c.Latencies = append(c.Latencies, 0)
	}
	c.Latencies[bucket] += n
}

// since returns what was counted after before. A count that has fallen, because a node was forgotten,
// gives 0.
func (c *Counts) since(before *Counts) Counts {
	out := Counts{Answers: sinceOf(c.Answers, before.Answers), Failures: sinceOf(c.Failures, before.Failures)}
	for i, n := range c.Latencies {
		earlier := uint32(0)
		if i < len(before.Latencies) {
			earlier = before.Latencies[i]
		}
		out.addLatencies(i, sinceOf(n, earlier))
	}
	return out
}

func sinceOf(now, before uint32) uint32 { return now - min(now, before) }

// atLeast returns how many latencies are in a bucket or a later one.
func (c *Counts) atLeast(bucket int) (out uint32) {
	for i := max(bucket, 0); i < len(c.Latencies); i++ {
		out += c.Latencies[i]
	}
	return out
}

// Pair is what both versions answered to one group of routes.
type Pair struct {
	Old Counts
	New Counts
}

// Evidence is what both versions answered, by group of routes.
type Evidence [routeGroups]Pair

// Answers returns the number of requests that the new version ended.
func (e *Evidence) Answers() (out uint32) {
	for i := range e {
		out += e[i].New.Answers
	}
	return out
}

// total returns the sum over all groups.
func (e *Evidence) total() (out Pair) {
	for i := range e {
		out.Old.add(&e[i].Old)
		out.New.add(&e[i].New)
	}
	return out
}

// since returns what was counted after before.
func (e *Evidence) since(before *Evidence) *Evidence {
	var out Evidence
	for i := range e {
		out[i] = Pair{Old: e[i].Old.since(&before[i].Old), New: e[i].New.since(&before[i].New)}
	}
	return &out
}

// clone returns a copy that shares nothing with e.
func (e *Evidence) clone() *Evidence { return e.since(&Evidence{}) }

// GroupReport is the evidence of one group of routes, as nodes tell each other.
type GroupReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Group    uint8    `msgpack:"g"`
	Old      Counts   `msgpack:"o"`
	New      Counts   `msgpack:"n"`
}

// Report is what a node tells the others of one order.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	// Key identifies the order.
	Key uint32 `msgpack:"k"`
	// AgeMs is how long ago the order came, as far as the node knows.
	AgeMs int64 `msgpack:"a"`
	// Bad is true once the node has found the version bad.
	Bad bool `msgpack:"b"`
	// Moving is true at a lease holder that moves all requests to the new version.
	Moving bool          `msgpack:"m"`
	Groups []GroupReport `msgpack:"g"`
}

// groups returns the groups with any answer.
func (e *Evidence) groups() []GroupReport {
	var out []GroupReport
	for i := range e {
		if p := &e[i]; p.Old.Answers+p.New.Answers > 0 {
			out = append(out, GroupReport{Group: uint8(i), Old: p.Old, New: p.New}) //nolint:gosec // below routeGroups
		}
	}
	return out
}

// addReport adds a node's report.
func (e *Evidence) addReport(r *Report) {
	for i := range r.Groups {
		if g := &r.Groups[i]; int(g.Group) < routeGroups {
			e[g.Group].Old.add(&g.Old)
			e[g.Group].New.add(&g.New)
		}
	}
}

// keyOf returns the key of an order in reports.
func keyOf(o *Order) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Service + "\x00" + o.Target + "\x00" + strconv.FormatUint(o.Created, 10))) // hash.Hash never returns an error
	return h.Sum32()
}

// groupOf returns the group of a route.
func groupOf(route string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(route)) // hash.Hash never returns an error
	return int(h.Sum32() % routeGroups)
}

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	bucket := 0
	for edge := firstBucket; latency >= edge && bucket < latencyBuckets-1; edge *= 2 {
		bucket++
	}
	return bucket
}
