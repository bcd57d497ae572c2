package dispatch

import (
	"context"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
)

// exportResult is the result of an export.
type exportResult struct {
	export *engine.KVExport
	err    error
}

// startExport exports the KV cache in the background while the stream is read.
func (m *migration) startExport(q *planInputs) {
	ctx, stop := context.WithTimeout(m.ctx, q.source.Notice)
	exported := make(chan exportResult, 1)
	m.exported, m.stopExport = exported, stop
	bytes, alone := q.stream.KVBytes, q.source.QueuedExportBytes == 0
	go func() {
		started := time.Now()
		export, err := m.d.options.Engines.Export(ctx, m.base, m.streamID)
		m.d.costs.removePendingExport(m.upstream, bytes)
		if err == nil {
			tokens := m.e.spec.EstimatePromptTokens() + len(export.Tokens)
			m.d.costs.observeExport(q.model, tokens, export.Bytes, time.Since(started), alone)
		}
		exported <- exportResult{export: export, err: err}
	}()
}

// checkExport handles an export that failed while the stream was read. A successful
// export ends the stream; its result stays in the channel until awaitExport.
func (m *migration) checkExport() {
	if m.exported == nil {
		return
	}
	select {
	case result := <-m.exported:
		if result.err == nil {
			m.exported <- result
			return
		}
		m.handleExportFailure(result.err)
	default:
	}
}

func (m *migration) handleExportFailure(err error) {
	m.stopExport()
	m.exported = nil
	m.exportUnavailable = true
	m.nextPlan = time.Time{}
	m.d.recordDecision(m.e.spec.ID, "export failed", err.Error())
}

// exportEndedStream exports the KV cache of a stream that its engine has ended, unless
// this node had abandoned the stream or an export of it has failed. It reports whether
// the cache is ready for another upstream.
func (m *migration) exportEndedStream() bool {
	if m.abandoned || m.exportUnavailable {
		return false
	}
	q := m.collectPlanInputs(time.Now())
	if !q.source.CanExport || !q.source.Reachable {
		return false
	}
	m.d.costs.addPendingExport(q)
	m.startExport(q)
	return m.awaitExport()
}

// awaitExport waits for the export in progress, if any, and adds its tokens to the
// request. It reports whether the cache is ready for another upstream.
func (m *migration) awaitExport() bool {
	if m.exported == nil {
		return false
	}
	result := <-m.exported
	if result.err != nil {
		m.handleExportFailure(result.err)
		return false
	}
	m.stopExport()
	m.exported = nil
	if seen := m.e.view(); seen.released || seen.record.Generation != m.generation {
		return false
	}
	for offset := len(m.e.snapshot().Tokens); offset < len(result.export.Tokens); offset++ {
		m.e.addToken(m.generation, offset, result.export.Tokens[offset])
	}
	m.e.setExport(&engine.KVImport{Handle: result.export.Handle, Source: m.base})
	m.d.recordDecision(m.e.spec.ID, "export", strconv.Itoa(len(result.export.Tokens))+" tokens with their cache")
	return true
}
