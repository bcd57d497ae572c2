package guard

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// pass allows one run of the content; it implements dispatch.Pass.
type pass struct {
	guard       *Guard
	fingerprint poison.Fingerprint
	id          poison.PassID
	address     string
	local       bool
}

// Release releases the pass and records how the run ended.
func (p *pass) Release(upstream ident.Upstream, ending dispatch.Ending) {
	now := time.Now()
	how := poisonEnding(ending)
	if ending == dispatch.EndingCrashed {
		count := p.guard.registry.RecordCrash(now, p.fingerprint, upstream, false)
		p.guard.logger.Warn("upstream crashed while running request content", "upstream", string(upstream), "fingerprint", uint64(p.fingerprint), "crashes", count)
		p.guard.publish(p.fingerprint)
	}
	if p.local {
		p.guard.gate.Release(now, p.fingerprint, p.id, upstream, how)
		return
	}
	args := &poison.ReleaseArgs{Fingerprint: p.fingerprint, ID: p.id, Upstream: upstream, Ending: how}
	release := func() {
		ctx, cancel := context.WithTimeout(context.Background(), gateTimeout)
		defer cancel()
		_ = p.guard.client.Release(ctx, p.address, args)
	}
	if ending == dispatch.EndingCrashed {
		release()
		return
	}
	go release()
}

// poisonEnding converts an ending of package dispatch to one of package poison.
func poisonEnding(ending dispatch.Ending) poison.Ending {
	switch ending {
	case dispatch.EndingFinished:
		return poison.EndingFinished
	case dispatch.EndingCrashed:
		return poison.EndingCrashed
	case dispatch.EndingOther:
	}
	return poison.EndingOther
}
