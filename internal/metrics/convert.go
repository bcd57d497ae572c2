package metrics

import (
	"strings"
	"time"

	model "github.com/prometheus/client_model/go"
	"github.com/rcrowley/go-metrics"
)

// quantiles are shown of go-metrics histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// convert returns the type and value of a go-metrics metric, or false for a kind that is not shown.
func convert(name string, metric any) (model.MetricType, *model.Metric, bool) {
	switch m := metric.(type) {
	case metrics.Counter:
		return number(name, float64(m.Count()))
	case metrics.Gauge:
		return number(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return number(name, m.Value())
	case metrics.Meter:
		return number(name, float64(m.Count()))
	case *Latency:
		return model.MetricType_HISTOGRAM, &model.Metric{Histogram: m.histogram()}, true
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(s.Count(), s.Mean(), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return summary(s.Count(), s.Mean(), s.Percentiles(quantiles), 1/float64(time.Second))
	}
	return 0, nil, false
}

// number is a counter when its name ends in _total, and else a gauge.
func number(name string, value float64) (model.MetricType, *model.Metric, bool) {
	if strings.HasSuffix(name, "_total") {
		return model.MetricType_COUNTER, &model.Metric{Counter: &model.Counter{Value: &value}}, true
	}
	return model.MetricType_GAUGE, &model.Metric{Gauge: &model.Gauge{Value: &value}}, true
}

// summary shows quantiles of a sample; its sum is estimated from the sample's mean.
func summary(count int64, mean float64, values []float64, unit float64) (model.MetricType, *model.Metric, bool) {
	n := uint64(count)
	sum := mean * unit * float64(count)
	out := &model.Summary{SampleCount: &n, SampleSum: &sum}
	for i := range quantiles {
		value := values[i] * unit
		out.Quantile = append(out.Quantile, &model.Quantile{Quantile: &quantiles[i], Value: &value})
	}
	return model.MetricType_SUMMARY, &model.Metric{Summary: out}, true
}

func (l *Latency) histogram() *model.Histogram {
	out := new(model.Histogram)
	var total uint64
	for i, bound := range l.bounds {
		total += l.counts[i].Load()
		cumulative, upper := total, bound.Seconds()
		out.Bucket = append(out.Bucket, &model.Bucket{CumulativeCount: &cumulative, UpperBound: &upper})
	}
	total += l.counts[len(l.bounds)].Load()
	sum := time.Duration(l.sum.Load()).Seconds()
	out.SampleCount, out.SampleSum = &total, &sum
	return out
}
