package membership

import "github.com/rcrowley/go-metrics"

// gauges exports Stats as metrics.
type gauges struct {
	sentBytes, receivedBytes        metrics.Gauge
	rejected                        metrics.Gauge
	suspicions, refutations, deaths metrics.Gauge
	pauses                          metrics.Gauge
}

func newGauges(registry metrics.Registry) *gauges {
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("membership."+name, registry)
	}
	return &gauges{
		sentBytes:     gauge("sent_bytes"),
		receivedBytes: gauge("received_bytes"),
		rejected:      gauge("rejected_datagrams"),
		suspicions:    gauge("suspicions"),
		refutations:   gauge("refutations"),
		deaths:        gauge("deaths"),
		pauses:        gauge("pauses"),
	}
}

func (c *gauges) update(s *Stats) {
	c.sentBytes.Update(int64(s.SentBytes))
	c.receivedBytes.Update(int64(s.ReceivedBytes))
	c.rejected.Update(int64(s.Rejected))
	c.suspicions.Update(int64(s.Suspicions))
	c.refutations.Update(int64(s.Refutations))
	c.deaths.Update(int64(s.Deaths))
	c.pauses.Update(int64(s.Pauses))
}
