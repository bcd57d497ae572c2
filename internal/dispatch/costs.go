package dispatch

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
)

const (
	// presumedKVBytesPerToken is the size of the KV cache of a token while no export was seen.
	presumedKVBytesPerToken = 330_000
	// presumedExportRate is the rate of exports, in bytes a second, while none was seen.
	presumedExportRate = 3e9
	// presumedPrefillRate is the prefill rate, in tokens a second, while none was seen.
	presumedPrefillRate = 5000
	// minSizeSample is the least cache whose size is learnt from, in tokens.
	minSizeSample = 16
	// minRateSample is the least export whose rate is learnt from, in bytes.
	minRateSample = 64 << 20
	// minPrefillSample is the least prefill whose rate is learnt from, in tokens.
	minPrefillSample = 512
	// costGain is the weight of a new sample in what was learnt.
	costGain = 0.3
)

// costs is what this node has learnt of the cost of moving streams, from its own
// streams alone, and the exports that it has under way.
//
// Lock order: costs.mu is a leaf.
type costs struct {
	mu     sync.Mutex
	models map[ident.Model]*modelCosts
	// exportRate is in bytes a second.
	exportRate float64
	// ahead is how many bytes of exports are under way at each upstream.
	ahead map[ident.Upstream]int64
}

// modelCosts is what was learnt of one model.
type modelCosts struct {
	kvBytesPerToken  float64
	prefillPerSecond float64
}

func newCosts() *costs {
	return &costs{
		models:     make(map[ident.Model]*modelCosts),
		exportRate: presumedExportRate,
		ahead:      make(map[ident.Upstream]int64),
	}
}

// model returns what was learnt of a model; c.mu is held.
func (c *costs) model(id ident.Model) *modelCosts {
	known, ok := c.models[id]
	if !ok {
		known = &modelCosts{kvBytesPerToken: presumedKVBytesPerToken, prefillPerSecond: presumedPrefillRate}
		c.models[id] = known
	}
	return known
}

// choose completes the question by what was learnt and returns the cheapest
// plan. With reserve the export of a transfer counts as under way from now on,
// until exportEnded.
func (c *costs) choose(q *question, reserve bool) recovery.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	model := c.model(q.model)
	q.stream.KVBytes = int64(float64(q.stream.PromptTokens+q.stream.GeneratedTokens) * model.kvBytesPerToken)
	q.source.QueuedExportBytes = c.ahead[q.upstream]
	q.source.ExportBytesPerSecond = c.exportRate
	q.target.PrefillTokensPerSecond = model.prefillPerSecond
	plan := recovery.Choose(q.stream, q.source, q.target)
	if reserve && plan.Method == recovery.MethodTransfer {
		c.ahead[q.upstream] += q.stream.KVBytes
	}
	return plan
}

// exportBegun counts the export of the question's cache as under way.
func (c *costs) exportBegun(q *question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.stream.KVBytes = int64(float64(q.stream.PromptTokens+q.stream.GeneratedTokens) * c.model(q.model).kvBytesPerToken)
	q.source.QueuedExportBytes = c.ahead[q.upstream]
	c.ahead[q.upstream] += q.stream.KVBytes
}

// exportEnded notes that an export which was counted as bytes is not under way any more.
func (c *costs) exportEnded(upstream ident.Upstream, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead[upstream] -= bytes
	if c.ahead[upstream] <= 0 {
		delete(c.ahead, upstream)
	}
}

// exported learns from an export of a cache of tokens, by this node's count,
// that took a time; alone is true when no other of this node was ahead of it.
func (c *costs) exported(model ident.Model, tokens int, bytes int64, took time.Duration, alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > 0 && tokens >= minSizeSample {
		learn(&c.model(model).kvBytesPerToken, float64(bytes)/float64(tokens))
	}
	if alone && bytes >= minRateSample && took > 0 {
		learn(&c.exportRate, float64(bytes)/took.Seconds())
	}
}

// prefilled learns from a prefill of tokens that took a time.
func (c *costs) prefilled(model ident.Model, tokens int, took time.Duration) {
	if tokens < minPrefillSample || took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	learn(&c.model(model).prefillPerSecond, float64(tokens)/took.Seconds())
}

// learn moves a mean toward a sample.
func learn(mean *float64, sample float64) {
	*mean += costGain * (sample - *mean)
}
