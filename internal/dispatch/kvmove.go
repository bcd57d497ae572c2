package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
)

// importTimeout bounds the import of a cache; prefilling again is tried after it.
const importTimeout = 1500 * time.Millisecond

// importKV has an engine fetch an exported cache and reports whether it did;
// when it can't it prefills again.
func (d *Dispatcher) importKV(ctx context.Context, e *entry, upstream fleet.Upstream, export engine.KVImport) bool {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	if err := d.options.Engines.Import(ctx, upstream.URL, export); err != nil {
		d.note(e.spec.ID, "import failed", err.Error())
		return false
	}
	d.note(e.spec.ID, "import", "of the cache at "+string(upstream.ID))
	return true
}
