package dispatch

import (
	"context"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
)

// exportResult is how an export ended.
type exportResult struct {
	export *engine.KVExport
	err    error
}

// beginExport has the cache exported while the stream is read on.
func (p *departure) beginExport(q *question) {
	ctx, stop := context.WithTimeout(p.ctx, q.source.Notice)
	exported := make(chan exportResult, 1)
	p.exported, p.stopExp = exported, stop
	bytes, alone := q.stream.KVBytes, q.source.QueuedExportBytes == 0
	go func() {
		begun := time.Now()
		export, err := p.d.options.Engines.Export(ctx, p.base, p.streamID)
		p.d.costs.exportEnded(p.upstream, bytes)
		if err == nil {
			tokens := p.e.spec.EstimatePromptTokens() + len(export.Tokens)
			p.d.costs.exported(q.model, tokens, export.Bytes, time.Since(begun), alone)
		}
		exported <- exportResult{export: export, err: err}
	}()
}

// lookAtExport notes an export that has failed while the stream went on. One
// that succeeded ends the stream, and is taken when that is read.
func (p *departure) lookAtExport() {
	if p.exported == nil {
		return
	}
	select {
	case result := <-p.exported:
		if result.err == nil {
			p.exported <- result
			return
		}
		p.exportFailed(result.err)
	default:
	}
}

func (p *departure) exportFailed(err error) {
	p.stopExp()
	p.exported = nil
	p.noExport = true
	p.next = time.Time{}
	p.d.note(p.e.spec.ID, "export failed", err.Error())
}

// exportEnded has the cache exported of a stream that was ended, but not given up, by this node.
func (p *departure) exportEnded() bool {
	if p.left || p.noExport {
		return false
	}
	q := p.question(time.Now())
	if !q.source.CanExport || !q.source.Reachable {
		return false
	}
	p.d.costs.exportBegun(q)
	p.beginExport(q)
	return p.takeExport()
}

// takeExport waits for the export that is under way, if one is, and takes in its
// tokens. It reports whether the cache is ready for another upstream.
func (p *departure) takeExport() bool {
	if p.exported == nil {
		return false
	}
	result := <-p.exported
	if result.err != nil {
		p.exportFailed(result.err)
		return false
	}
	p.stopExp()
	p.exported = nil
	if seen := p.e.view(); seen.released || seen.record.Generation != p.generation {
		return false
	}
	for offset := len(p.e.snapshot().Tokens); offset < len(result.export.Tokens); offset++ {
		p.e.addToken(p.generation, offset, result.export.Tokens[offset])
	}
	p.e.setExport(&engine.KVImport{Handle: result.export.Handle, Source: p.base})
	p.d.note(p.e.spec.ID, "export", strconv.Itoa(len(result.export.Tokens))+" tokens with their cache")
	return true
}
