package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// speeds holds what was learnt of the upstreams' speed, by this node's timings and those of others.
type speeds struct {
	services map[string]*profile.Service
	// byKey finds the upstream of a timing.
	byKey  map[uint32]*upstreamState
	outbox profile.Outbox
}

func newSpeeds() *speeds {
	return &speeds{services: make(map[string]*profile.Service), byKey: make(map[uint32]*upstreamState)}
}

// modelOf returns the model of a service.
func (s *speeds) modelOf(service site.Service) *profile.Service {
	model := s.services[service.Name]
	if model == nil {
		assumed := profile.Assumption{Base: plainLatency}
		if service.Engine != nil {
			assumed = profile.Assumption{Base: baseLatency, PrefillRate: prefillRate, PerRequest: latencyPerRequest}
		}
		model = profile.NewService(assumed)
		s.services[service.Name] = model
	}
	return model
}

// add makes an upstream known to timings. Timings name one start of an upstream, since the next
// may be faster or slower.
func (s *speeds) add(state *upstreamState) {
	s.remove(state)
	u := state.upstream
	state.speedKey = uint32(xxhash.Sum64String(u.ID + "@" + u.StartedAt.UTC().Format(time.RFC3339Nano))) //nolint:gosec // the low half is meant
	s.byKey[state.speedKey] = state
}

// remove forgets an upstream; state may be nil.
func (s *speeds) remove(state *upstreamState) {
	if state != nil && s.byKey[state.speedKey] == state {
		delete(s.byKey, state.speedKey)
	}
}

// recordOwn learns from a timing of this node and keeps it for the others. A request that found no
// free slot tells nothing: it waited for as long as those before it ran.
func (s *speeds) recordOwn(t *Ticket, took time.Duration, now time.Time) {
	if t.work.Open >= t.state.upstream.Slots {
		return
	}
	timing := profile.NewTiming(t.state.speedKey, t.work.Tokens, t.work.Ahead, t.work.Open, took)
	t.service.Record(&t.state.speed, timing, now)
	s.outbox.Add(timing, now)
}

// RecordTimings learns from the timings of another node.
func (b *Balancer) RecordTimings(list []profile.Timing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, t := range list {
		state := b.speeds.byKey[t.Upstream]
		if state == nil {
			continue // not listed here yet, or no longer
		}
		if model := b.speeds.services[state.upstream.Service]; model != nil {
			model.Record(&state.speed, t, now)
		}
	}
}

// LatestTimings returns this node's timings to send to the others, and the number of all so far.
func (b *Balancer) LatestTimings() ([]profile.Timing, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.speeds.outbox.Latest(b.now())
}

// SpeedChange is an upstream whose class of speed changed.
type SpeedChange struct {
	Upstream site.Upstream
	Class    int
	Speed    float64
}

// SpeedChanges returns the upstreams whose class of speed has changed since the last call.
func (b *Balancer) SpeedChanges() []SpeedChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []SpeedChange
	for _, s := range b.states {
		s.speed.Refresh(now)
		if s.speed.TakeChange() {
			out = append(out, SpeedChange{Upstream: s.upstream, Class: s.speed.Class(), Speed: s.speed.Speed()})
		}
	}
	return out
}

// ServiceSpeed is what was learnt of a service.
type ServiceSpeed struct {
	// Base is the time to the first event without prefill.
	Base time.Duration
	// PrefillRate is in tokens per second; 0 while it is not known.
	PrefillRate float64
	// Faster and Slower count the upstreams in classes above and below the typical one.
	Faster, Slower int
}

// ServiceSpeeds returns what was learnt of each service.
func (b *Balancer) ServiceSpeeds() map[string]ServiceSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]ServiceSpeed, len(b.speeds.services))
	for name, model := range b.speeds.services {
		rate, ok := model.PrefillRate()
		if !ok {
			rate = 0
		}
		out[name] = ServiceSpeed{Base: model.Base(), PrefillRate: rate}
	}
	for _, s := range b.states {
		sum := out[s.upstream.Service]
		switch class := s.speed.Class(); {
		case class > 0:
			sum.Faster++
		case class < 0:
			sum.Slower++
		default:
			continue
		}
		out[s.upstream.Service] = sum
	}
	return out
}
