package capacity

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	// waveReplicas is the number of replicas before a reclaim wave.
	waveReplicas = 18
	// waveNotice is the time between the reclaim notices of a wave and the reclaim.
	waveNotice = 30 * time.Second
	// maxWavePass is the most passes that passUntil runs.
	maxWavePass = 200
)

// costPerHour is the price per hour of all hosts that run now.
func (s *testSite) costPerHour() float64 {
	sum := 0.0
	for _, line := range s.platform.Bill() {
		if line.Host.State != platform.HostTerminated {
			sum += line.Host.PricePerHour
		}
	}
	return sum
}

// passUntil runs passes at the real interval until all replicas are ready, and returns how long
// that took on the simulated clock.
func (s *testSite) passUntil(r *Reconciler, replicas int) time.Duration {
	began := s.now
	for range maxWavePass {
		_ = r.Pass(s.t.Context()) // refused starts and a busy weight store are part of the scenario
		if s.readyUpstreams("m1") >= replicas {
			return s.now.Sub(began)
		}
		s.now = s.now.Add(passInterval)
	}
	s.t.Fatal("the replicas did not become ready")
	return 0
}

// BenchmarkWave reclaims a failure domain with notice while another refuses to start reclaimable
// hosts, at three weights of the latency target. Times are those of the simulated clock, with a
// pass every two seconds and a weight store that admits 60 loads per minute.
func BenchmarkWave(b *testing.B) {
	for _, latency := range []float64{0, 0.5, 1} {
		b.Run(fmt.Sprintf("latency=%g", latency), func(b *testing.B) {
			for range b.N {
				s := newTestSite(b)
				s.site.Weights.Latency = latency
				s.site.Models[0].Replicas = waveReplicas
				for i := range s.site.Capacity {
					s.site.Capacity[i].MaxHosts = waveReplicas
				}
				r := s.newHolder(&crashPoint{})
				s.passUntil(r, waveReplicas)
				b.ReportMetric(s.costPerHour(), "cost/h-before")
				s.platform.AddFault(platform.Fault{
					Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d2", Market: platform.MarketReclaimable,
				})
				s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d1"})
				b.ReportMetric(float64(s.platform.Reclaim("", "d1", "", waveNotice)), "hosts-lost")
				b.ReportMetric(s.passUntil(r, waveReplicas).Seconds(), "s-to-replaced")
				s.now = s.now.Add(waveNotice)
				b.ReportMetric(s.costPerHour(), "cost/h-after")
			}
		})
	}
}

// BenchmarkBudget measures how long a holder waits for its budget of store calls while it starts
// two replicas in each of 19 failure domains: with what the watches and leases of its node leave of
// the node's budget, and with a budget of its own.
func BenchmarkBudget(b *testing.B) {
	const domains = 19
	left := func() *objects.Budget { return objects.NewBudget(1.6, objects.DefaultBurst) }
	own := func() *objects.Budget { return objects.NewBudget(StoreCallsPerSecond, StoreBurst) }
	for name, budget := range map[string]func() *objects.Budget{"left": left, "own": own} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s := newTestSiteWithDomains(b, domains)
				used := budget()
				s.useBudget(used)
				s.site.Models[0].Replicas = 2 * domains
				s.site.Weights.Latency = 1
				began := time.Now()
				s.passUntil(s.newHolder(&crashPoint{}), 2*domains)
				b.ReportMetric(time.Since(began).Seconds(), "s-waited")
				b.ReportMetric(float64(used.Calls()), "storecalls")
			}
		})
	}
}

// BenchmarkPlan measures one plan for the largest site when there is nothing to do.
func BenchmarkPlan(b *testing.B) {
	const domains, perDomain, models = 19, 580, 10
	in := PlanInputs{Site: &config.Site{}, Now: time.Now(), NewToken: func() string { return "new" }}
	for m := range models {
		in.Site.Models = append(in.Site.Models, config.Model{Name: ident.Model(strconv.Itoa(m)), Replicas: domains * perDomain / models})
	}
	for d := range domains {
		pool := cloud.Pool{FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", d)), HostClass: "big", Market: cloud.MarketReclaimable}
		in.Offers = append(in.Offers, cloud.Offer{Pool: pool, PricePerHour: 1})
		l := &Ledger{FailureDomain: pool.FailureDomain}
		for i := range perDomain {
			token := fmt.Sprintf("%d-%d", d, i)
			host := ident.Host("h" + token)
			in.Hosts = append(in.Hosts, cloud.Host{ID: host, ClientToken: token, Pool: pool, State: cloud.StateRunning})
			l.Intents = append(l.Intents, Intent{
				Token: token, Pool: pool, Model: ident.Model(strconv.Itoa((d*perDomain + i) % models)), Phase: PhaseReady, Host: host,
			})
		}
		in.Ledgers = append(in.Ledgers, l)
	}
	for b.Loop() {
		planned := Plan(in)
		require.Len(b, planned.Ledgers[0].Intents, perDomain)
	}
	object, err := in.Ledgers[0].encode()
	require.NoError(b, err)
	b.ReportMetric(float64(len(object.Spec)), "ledger-bytes")
}
