package metrics

import (
	"strings"
	"time"

	model "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles exposed for go-metrics histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// convert returns the type and value of a go-metrics metric, or false for a kind that is not exposed.
func convert(name string, metric any) (model.MetricType, *model.Metric, bool) {
	switch m := metric.(type) {
	case metrics.Counter:
		return counterOrGauge(name, float64(m.Count()))
	case metrics.Gauge:
		return counterOrGauge(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return counterOrGauge(name, m.Value())
	case metrics.Meter:
		return counterOrGauge(name, float64(m.Count()))
	case *Latency:
		return model.MetricType_HISTOGRAM, &model.Metric{Histogram: m.histogram()}, true
	case metrics.Histogram:
		s := m.Snapshot()
		return newSummary(s.Count(), s.Mean(), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return newSummary(s.Count(), s.Mean(), s.Percentiles(quantiles), 1/float64(time.Second))
	}
	return 0, nil, false
}

// counterOrGauge returns a counter if name ends in _total and otherwise a gauge.
func counterOrGauge(name string, value float64) (model.MetricType, *model.Metric, bool) {
	if strings.HasSuffix(name, "_total") {
		return model.MetricType_COUNTER, &model.Metric{Counter: &model.Counter{Value: &value}}, true
	}
	return model.MetricType_GAUGE, &model.Metric{Gauge: &model.Gauge{Value: &value}}, true
}

// newSummary returns a summary with the quantiles of a sample, multiplied by unit. Its sum is estimated
// from the mean of the sample.
func newSummary(count int64, mean float64, values []float64, unit float64) (model.MetricType, *model.Metric, bool) {
	n := uint64(count)
	sum := mean * unit * float64(count)
	out := &model.Summary{SampleCount: &n, SampleSum: &sum}
	for i := range quantiles {
		value := values[i] * unit
		out.Quantile = append(out.Quantile, &model.Quantile{Quantile: &quantiles[i], Value: &value})
	}
	return model.MetricType_SUMMARY, &model.Metric{Summary: out}, true
}

// histogram returns the current counts as a histogram with cumulative buckets, in seconds.
func (l *Latency) histogram() *model.Histogram {
	out := new(model.Histogram)
	var cumulativeCount uint64
	for i, bound := range l.bounds {
		cumulativeCount += l.counts[i].Load()
		cumulative, upper := cumulativeCount, bound.Seconds()
		out.Bucket = append(out.Bucket, &model.Bucket{CumulativeCount: &cumulative, UpperBound: &upper})
	}
	cumulativeCount += l.counts[len(l.bounds)].Load()
	sum := time.Duration(l.sum.Load()).Seconds()
	out.SampleCount, out.SampleSum = &cumulativeCount, &sum
	return out
}
