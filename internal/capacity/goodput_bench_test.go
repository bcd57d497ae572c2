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
	// goodputStep is the step of the bench's clock.
	goodputStep = 200 * time.Millisecond
	// goodputSlots is how many requests a replica runs at once.
	goodputSlots = 8
	// goodputWarmUp is after how long a replica that is listed as ready takes work.
	goodputWarmUp = 20 * time.Second
	// goodputBefore, goodputRefused and goodputAfter are the parts of a run: before the
	// wave, with starts refused, and with starts given again.
	goodputBefore  = time.Minute
	goodputRefused = 5 * time.Minute
	goodputAfter   = 5 * time.Minute
)

// job is a request in the bench's queue.
type job struct {
	remaining time.Duration
	deadline  time.Time
}

// demand is a steady stream of requests for one model. Requests keep what was computed
// when their replica goes, as after an export of the cache.
type demand struct {
	model    ident.Model
	interval time.Duration
	service  time.Duration
	patience time.Duration

	next         time.Time
	jobs         []job
	sent, inTime int
}

// step lets requests arrive, run on slots and end. One that can't be answered in time
// any more is refused and takes no slot.
func (d *demand) step(now time.Time, slots int) {
	for ; !d.next.After(now); d.next = d.next.Add(d.interval) {
		d.jobs = append(d.jobs, job{remaining: d.service, deadline: d.next.Add(d.patience)})
		d.sent++
	}
	var rest []job
	for i, j := range d.jobs {
		if i < slots {
			j.remaining -= goodputStep
		}
		switch {
		case now.Add(j.remaining).After(j.deadline):
			// Refused, since no answer in time can come of it.
		case j.remaining <= 0:
			d.inTime++
		default:
			rest = append(rest, j)
		}
	}
	d.jobs = rest
}

// goodputRun is one run through a wave.
type goodputRun struct {
	*bench
	reconciler *Reconciler
	demands    []*demand
	readySince map[ident.Upstream]time.Time
}

// usable counts the slots that take work for a model: of replicas that are listed as
// ready for long enough, on hosts that have no notice.
func (g *goodputRun) usable(model ident.Model) int {
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

// watch notes since when each replica is listed as ready without a break.
func (g *goodputRun) watch() {
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

// run runs for some time; the reconciler passes while it acts.
func (g *goodputRun) run(d time.Duration, acts bool) {
	var slots []int
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(goodputStep) {
		if g.now.Truncate(passInterval).Equal(g.now.Truncate(goodputStep)) || slots == nil {
			if acts {
				_ = g.reconciler.Pass(g.t.Context()) // refused starts are wanted here
			}
			g.watch()
			slots = nil
			for _, demand := range g.demands {
				slots = append(slots, g.usable(demand.model))
			}
		}
		for i, demand := range g.demands {
			demand.step(g.now, slots[i])
		}
	}
}

// billedSince is what the bill has for the time since start, in price units.
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

// BenchmarkGoodput takes a failure domain of three away with notice and has all starts
// refused for five minutes. A live model and a draft model have nine replicas each,
// used to 83% and 69%. It measures, from the notice on, the share of requests that
// are answered in time, and the cost on the stand-in's bill, without the reconciler,
// with it at one priority for both, and with the live model more urgent.
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
	s := newBench(b)
	s.now = s.now.Truncate(passInterval)
	s.site.Weights.Latency = 0.5
	s.site.Models = []config.Model{{Name: "draft", Replicas: 9, Priority: 5}, {Name: "live", Replicas: 9, Priority: priority}}
	for i := range s.site.Capacity {
		s.site.Capacity[i].MaxHosts = waveReplicas
		s.site.Capacity[i].ChecksFencing = true
	}
	live := &demand{model: "live", interval: time.Second / 30, service: 2 * time.Second, patience: 6 * time.Second, next: s.now.Add(2 * goodputBefore)}
	draft := &demand{model: "draft", interval: 400 * time.Millisecond, service: 20 * time.Second, patience: time.Minute, next: live.next}
	g := &goodputRun{bench: s, reconciler: s.process(&plug{}), demands: []*demand{live, draft}}
	g.run(3*goodputBefore, true)
	require.Equal(b, 9, s.ready("live"))
	require.Equal(b, 9, s.ready("draft"))
	require.Equal(b, live.sent, live.inTime+len(live.jobs), "a request was late before the wave")

	live.sent, live.inTime, draft.sent, draft.inTime = 0, 0, 0, 0
	began := s.now
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	lost := s.platform.Reclaim("", "d1", "", waveNotice)
	g.run(goodputRefused, acts)
	b.ReportMetric(100*float64(live.inTime)/float64(live.sent), "%live-refused")
	b.ReportMetric(100*float64(draft.inTime)/float64(draft.sent), "%draft-refused")
	s.platform.ClearFaults()
	g.run(goodputAfter, acts)
	b.ReportMetric(float64(lost), "hosts-lost")
	b.ReportMetric(100*float64(live.inTime)/float64(live.sent), "%live")
	b.ReportMetric(100*float64(draft.inTime)/float64(draft.sent), "%draft")
	cost := g.billedSince(began)
	b.ReportMetric(cost, "cost")
	b.ReportMetric(1000*cost/float64(live.inTime+draft.inTime), "cost/1000-in-time")
}
