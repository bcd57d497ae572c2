package membership

import "github.com/rcrowley/go-metrics"

// counters show the Stats as metrics.
type counters struct {
	sentBytes, receivedBytes        metrics.Gauge
	rejected                        metrics.Gauge
	suspicions, refutations, deaths metrics.Gauge
	pauses                          metrics.Gauge
}

func newCounters(registry metrics.Registry) *counters {
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("membership."+name, registry)
	}
	return &counters{
		sentBytes:     gauge("sent_bytes"),
		receivedBytes: gauge("received_bytes"),
		rejected:      gauge("rejected_datagrams"),
		suspicions:    gauge("suspicions"),
		refutations:   gauge("refutations"),
		deaths:        gauge("deaths"),
		pauses:        gauge("pauses"),
	}
}

func (c *counters) update(s *Stats) {
	c.sentBytes.Update(int64(s.SentBytes))
	c.receivedBytes.Update(int64(s.ReceivedBytes))
	c.rejected.Update(int64(s.Rejected))
	c.suspicions.Update(int64(s.Suspicions))
	c.refutations.Update(int64(s.Refutations))
	c.deaths.Update(int64(s.Deaths))
	c.pauses.Update(int64(s.Pauses))
}
