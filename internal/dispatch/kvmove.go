package dispatch

import (
	"context"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// kvTimeout bounds the export or import of a cache; prefilling again is tried after it.
const kvTimeout = 1500 * time.Millisecond

// exportKV takes the cache of a stream off an engine that is leaving, with the
// tokens that had not come yet. Without it the next engine prefills again.
func (d *Dispatcher) exportKV(ctx context.Context, e *entry, generation ident.Generation, base string) {
	if e.isReleased() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	export, err := d.options.Engines.Export(ctx, base, engine.StreamID(e.spec.ID, generation))
	if err != nil {
		d.note(e.spec.ID, "export failed", err.Error())
		return
	}
	for offset := len(e.snapshot().Tokens); offset < len(export.Tokens); offset++ {
		e.addToken(generation, offset, export.Tokens[offset])
	}
	e.setExport(&engine.KVImport{Handle: export.Handle, Source: base})
	d.note(e.spec.ID, "export", strconv.Itoa(len(export.Tokens))+" tokens with their cache")
}

// importKV has an engine fetch an exported cache; when it can't it prefills again.
func (d *Dispatcher) importKV(ctx context.Context, e *entry, upstream fleet.Upstream, export engine.KVImport) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	if err := d.options.Engines.Import(ctx, upstream.URL, export); err != nil {
		d.note(e.spec.ID, "import failed", err.Error())
		return
	}
	d.note(e.spec.ID, "import", "of the cache at "+string(upstream.ID))
}
