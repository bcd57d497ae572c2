package dispatch

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
)

const (
	// initialKVBytesPerToken is the estimated KV cache size per token before the first export.
	initialKVBytesPerToken = 330_000
	// initialExportRate is the estimated export rate before the first export, in bytes per second.
	initialExportRate = 3e9
	// initialPrefillRate is the estimated prefill rate before the first prefill, in tokens per second.
	initialPrefillRate = 5000
	// minKVSampleTokens is the smallest cache, in tokens, that updates the size estimate.
	minKVSampleTokens = 16
	// minExportSampleBytes is the smallest export, in bytes, that updates the rate estimate.
	minExportSampleBytes = 64 << 20
	// minPrefillSampleTokens is the smallest prefill, in tokens, that updates the rate estimate.
	minPrefillSampleTokens = 512
	// costSampleWeight is the weight of a new sample in an estimate, between 0 and 1.
	costSampleWeight = 0.3
)

// costModel estimates the cost of moving streams between upstreams and tracks this
// node's exports in progress. The estimates come from this node's own streams only.
//
// Lock order: costModel.mu is a leaf.
type costModel struct {
	mu     sync.Mutex
	models map[ident.Model]*modelCosts
	// exportRate is in bytes per second.
	exportRate float64
	// pendingExportBytes is the size of the exports in progress at each upstream.
	pendingExportBytes map[ident.Upstream]int64
}

// modelCosts holds the estimates for one model.
type modelCosts struct {
	kvBytesPerToken  float64
	prefillPerSecond float64
}

func newCostModel() *costModel {
	return &costModel{
		models:             make(map[ident.Model]*modelCosts),
		exportRate:         initialExportRate,
		pendingExportBytes: make(map[ident.Upstream]int64),
	}
}

// model returns the estimates for a model and creates them if needed; the caller holds c.mu.
func (c *costModel) model(id ident.Model) *modelCosts {
	known, ok := c.models[id]
	if !ok {
		known = &modelCosts{kvBytesPerToken: initialKVBytesPerToken, prefillPerSecond: initialPrefillRate}
		c.models[id] = known
	}
	return known
}

// choosePlan fills the estimates into q and returns the cheapest plan. With reserve,
// the export of a transfer counts as in progress until removePendingExport is called.
func (c *costModel) choosePlan(q *planInputs, reserve bool) recovery.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	model := c.model(q.model)
	q.stream.KVBytes = int64(float64(q.stream.PromptTokens+q.stream.GeneratedTokens) * model.kvBytesPerToken)
	q.source.QueuedExportBytes = c.pendingExportBytes[q.upstream]
	q.source.ExportBytesPerSecond = c.exportRate
	q.target.PrefillTokensPerSecond = model.prefillPerSecond
	plan := recovery.Choose(q.stream, q.source, q.target)
	if reserve && plan.Method == recovery.MethodTransfer {
		c.pendingExportBytes[q.upstream] += q.stream.KVBytes
	}
	return plan
}

// addPendingExport counts the export of q's cache as in progress.
func (c *costModel) addPendingExport(q *planInputs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.stream.KVBytes = int64(float64(q.stream.PromptTokens+q.stream.GeneratedTokens) * c.model(q.model).kvBytesPerToken)
	q.source.QueuedExportBytes = c.pendingExportBytes[q.upstream]
	c.pendingExportBytes[q.upstream] += q.stream.KVBytes
}

// removePendingExport stops counting an export as in progress; bytes is the size with
// which it was counted.
func (c *costModel) removePendingExport(upstream ident.Upstream, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingExportBytes[upstream] -= bytes
	if c.pendingExportBytes[upstream] <= 0 {
		delete(c.pendingExportBytes, upstream)
	}
}

// observeExport updates the estimates from a finished export. tokens is the cache
// length by this node's count; alone is true when no other export of this node was
// queued before it.
func (c *costModel) observeExport(model ident.Model, tokens int, bytes int64, took time.Duration, alone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes > 0 && tokens >= minKVSampleTokens {
		updateMean(&c.model(model).kvBytesPerToken, float64(bytes)/float64(tokens))
	}
	if alone && bytes >= minExportSampleBytes && took > 0 {
		updateMean(&c.exportRate, float64(bytes)/took.Seconds())
	}
}

// observePrefill updates the prefill rate from a prefill of tokens that took the given time.
func (c *costModel) observePrefill(model ident.Model, tokens int, took time.Duration) {
	if tokens < minPrefillSampleTokens || took <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	updateMean(&c.model(model).prefillPerSecond, float64(tokens)/took.Seconds())
}

// updateMean adds a sample to an exponentially weighted moving average.
func updateMean(mean *float64, sample float64) {
	*mean += costSampleWeight * (sample - *mean)
}
