package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	// goodputStep is the step of the simulated clock.
	goodputStep = 200 * time.Millisecond
	// goodputSlots is how many requests a replica runs concurrently.
	goodputSlots = 8
	// goodputWarmUp is how long after it is listed as ready a replica takes work.
	goodputWarmUp = 20 * time.Second
	// goodputBefore, goodputRefused and goodputAfter are the lengths of the parts of a run: before
	// the reclaim wave, with starts refused, and with starts allowed again.
	goodputBefore  = time.Minute
	goodputRefused = 5 * time.Minute
	goodputAfter   = 5 * time.Minute
)

// job is a queued or running request.
type job struct {
	remaining time.Duration
	deadline  time.Time
}

// demand is a steady stream of requests for one model. A request keeps its progress when its
// replica goes away, as after an export of the KV cache.
type demand struct {
	model ident.Model
	// interval is the time between two requests.
	interval time.Duration
	// service is how long a request runs in a slot.
	service time.Duration
	// timeout is the time from the arrival of a request to its deadline.
	timeout time.Duration

	next time.Time
	jobs []job
	// arrived counts the requests so far, and inTime those of them that were answered in time.
	arrived, inTime int
}

// step adds the requests that have arrived, runs requests on the given number of slots and ends
// those that are done. A request that can no longer be answered in time is refused and uses no
// slot.
func (d *demand) step(now time.Time, slots int) {
	for ; !d.next.After(now); d.next = d.next.Add(d.interval) {
		d.jobs = append(d.jobs, job{remaining: d.service, deadline: d.next.Add(d.timeout)})
		d.arrived++
	}
	var rest []job
	for i, j := range d.jobs {
		if i < slots {
			j.remaining -= goodputStep
		}
		switch {
		case now.Add(j.remaining).After(j.deadline):
			// Refused: it cannot be answered in time any more.
		case j.remaining <= 0:
			d.inTime++
		default:
			rest = append(rest, j)
		}
	}
	d.jobs = rest
}

// goodputRun is one run through a reclaim wave.
type goodputRun struct {
	*testSite
	reconciler *Reconciler
	demands    []*demand
	readySince map[ident.Upstream]time.Time
}

// usableSlots counts the slots that take work for a model: those of replicas that have been listed
// as ready for at least goodputWarmUp, on hosts without a reclaim notice.
func (g *goodputRun) usableSlots(model ident.Model) int {
	live := make(map[ident.Host]bool)
	for _, line := range g.platform.Bill() {
		live[ident.Host(line.Host.ID)] = line.Host.State == platform.HostRunning
	}
	slots := 0
	for _, u := range g.registry.Upstreams() {
		if u.State == fleet.StateReady && u.Serves(model) && live[u.Host] && g.now.Sub(g.readySince[u.ID]) >= goodputWarmUp {
			slots += goodputSlots
		}
	}
	return slots
}

// trackReadySince records since when each replica has been listed as ready without interruption.
func (g *goodputRun) trackReadySince() {
	ready := make(map[ident.Upstream]time.Time)
	for _, u := range g.registry.Upstreams() {
		if u.State != fleet.StateReady {
			continue
		}
		ready[u.ID] = g.now
		if since, known := g.readySince[u.ID]; known {
			ready[u.ID] = since
		}
	}
	g.readySince = ready
}

// run advances the simulation by d; with acts, the reconciler runs its passes.
func (g *goodputRun) run(d time.Duration, acts bool) {
	var slots []int
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(goodputStep) {
		if g.now.Truncate(passInterval).Equal(g.now.Truncate(goodputStep)) || slots == nil {
			if acts {
				_ = g.reconciler.Pass(g.t.Context()) // refused starts are part of the scenario
			}
			g.trackReadySince()
			slots = nil
			for _, demand := range g.demands {
				slots = append(slots, g.usableSlots(demand.model))
			}
		}
		for i, demand := range g.demands {
			demand.step(g.now, slots[i])
		}
	}
}

// billedSince is the amount billed for the time since start, in price units.
func (g *goodputRun) billedSince(start time.Time) float64 {
	sum := 0.0
	for _, line := range g.platform.Bill() {
		end := g.now
		if line.Host.State == platform.HostTerminated {
			end = time.UnixMilli(line.Host.EndedMs)
		}
		begin := time.UnixMilli(line.Host.StartedMs)
		if begin.Before(start) {
			begin = start
		}
		sum += max(0, end.Sub(begin).Hours()) * line.Host.PricePerHour
	}
	return sum
}

// BenchmarkGoodput reclaims one of three failure domains, with notice, and has all starts refused
// for five minutes. A live model and a draft model have nine replicas each, at a utilisation of 83%
// and 69%. It measures, from the notice on, the share of requests answered in time, and the cost on
// the stand-in's bill: without the reconciler, with it and equal priorities, and with it and a more
// urgent live model.
func BenchmarkGoodput(b *testing.B) {
	for _, c := range []struct {
		name     string
		acts     bool
		priority int
	}{{"still", false, 5}, {"equal", true, 5}, {"urgent", true, 9}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				measureGoodput(b, c.acts, c.priority)
			}
		})
	}
}

func measureGoodput(b *testing.B, acts bool, priority int) {
	s := newTestSite(b)
	s.now = s.now.Truncate(passInterval)
	s.site.Weights.Latency = 0.5
	s.site.Models = []config.Model{{Name: "draft", Replicas: 9, Priority: 5}, {Name: "live", Replicas: 9, Priority: priority}}
	for i := range s.site.Capacity {
		s.site.Capacity[i].MaxHosts = waveReplicas
		s.site.Capacity[i].ChecksFencing = true
	}
	live := &demand{model: "live", interval: time.Second / 30, service: 2 * time.Second, timeout: 6 * time.Second, next: s.now.Add(2 * goodputBefore)}
	draft := &demand{model: "draft", interval: 400 * time.Millisecond, service: 20 * time.Second, timeout: time.Minute, next: live.next}
	g := &goodputRun{testSite: s, reconciler: s.newHolder(&crashPoint{}), demands: []*demand{live, draft}}
	g.run(3*goodputBefore, true)
	require.Equal(b, 9, s.readyUpstreams("live"))
	require.Equal(b, 9, s.readyUpstreams("draft"))
	require.Equal(b, live.arrived, live.inTime+len(live.jobs), "a request was late before the wave")

	live.arrived, live.inTime, draft.arrived, draft.inTime = 0, 0, 0, 0
	began := s.now
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	lost := s.platform.Reclaim("", "d1", "", waveNotice)
	g.run(goodputRefused, acts)
	b.ReportMetric(100*float64(live.inTime)/float64(live.arrived), "%live-refused")
	b.ReportMetric(100*float64(draft.inTime)/float64(draft.arrived), "%draft-refused")
	s.platform.ClearFaults()
	g.run(goodputAfter, acts)
	b.ReportMetric(float64(lost), "hosts-lost")
	b.ReportMetric(100*float64(live.inTime)/float64(live.arrived), "%live")
	b.ReportMetric(100*float64(draft.inTime)/float64(draft.arrived), "%draft")
	cost := g.billedSince(began)
	b.ReportMetric(cost, "cost")
	b.ReportMetric(1000*cost/float64(live.inTime+draft.inTime), "cost/1000-in-time")
}
