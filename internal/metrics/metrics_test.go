package metrics

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestHandlerOutputIsReadByPrometheusParser(t *testing.T) {
	registry := metrics.NewRegistry()
	Describe("requests.accepted_total", "Accepted requests.")
	metrics.GetOrRegisterCounter(Name("requests.accepted_total", Label{"kind", `dr"a\ft`}, Label{"workspace", "a,b"}), registry).Inc(3)
	metrics.GetOrRegisterCounter(Name("requests.accepted_total", Label{"kind", "chat"}), registry).Inc(4)
	metrics.GetOrRegisterGauge("membership.suspicions", registry).Update(2)
	metrics.GetOrRegisterTimer("store.call_seconds", registry).Update(250 * time.Millisecond)
	latency := GetOrRegisterLatency("first_token_seconds", registry)
	for _, d := range []time.Duration{time.Millisecond, 1500 * time.Millisecond, time.Minute} {
		latency.Observe(d)
	}
	require.Same(t, latency, GetOrRegisterLatency("first_token_seconds", registry))

	server := httptest.NewServer(Handler(registry))
	defer server.Close()
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	require.NoError(t, err)

	accepted := families["mangoledge_requests_accepted_total"]
	require.Equal(t, "Accepted requests.", accepted.GetHelp())
	require.Len(t, accepted.Metric, 2)
	require.InDelta(t, 4, accepted.Metric[0].Counter.GetValue(), 0)
	require.Equal(t, `dr"a\ft`, accepted.Metric[1].Label[0].GetValue())
	require.Equal(t, "a,b", accepted.Metric[1].Label[1].GetValue())

	require.InDelta(t, 2, families["mangoledge_membership_suspicions"].Metric[0].Gauge.GetValue(), 0)
	require.InDelta(t, 0.25, families["mangoledge_store_call_seconds"].Metric[0].Summary.Quantile[0].GetValue(), 1e-9)

	histogram := families["mangoledge_first_token_seconds"].Metric[0].Histogram
	require.EqualValues(t, 3, histogram.GetSampleCount())
	require.InDelta(t, 61.501, histogram.GetSampleSum(), 1e-9)
	for _, bucket := range histogram.Bucket {
		if bucket.GetUpperBound() == 1.6 {
			require.EqualValues(t, 2, bucket.GetCumulativeCount())
		}
	}
	require.Positive(t, families["process_cpu_seconds_total"].Metric[0].Counter.GetValue())
	require.Positive(t, families["process_resident_memory_bytes"].Metric[0].Gauge.GetValue())
}

func BenchmarkObserve(b *testing.B) {
	latency := NewLatency()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			latency.Observe(20 * time.Millisecond)
		}
	})
}
