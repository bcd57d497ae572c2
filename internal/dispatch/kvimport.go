package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
)

// importTimeout limits the import of a KV cache; after it the engine prefills instead.
const importTimeout = 1500 * time.Millisecond

// importKV makes an engine import an exported KV cache and reports whether it
// succeeded. Without the import the engine has to prefill.
func (d *Dispatcher) importKV(ctx context.Context, e *entry, upstream fleet.Upstream, export engine.KVImport) bool {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	if err := d.options.Engines.Import(ctx, upstream.URL, export); err != nil {
		d.recordDecision(e.spec.ID, "import failed", err.Error())
		return false
	}
	d.recordDecision(e.spec.ID, "import", "of the cache at "+string(upstream.ID))
	return true
}
