package metrics

import (
	"net/http"
	"sort"

	model "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// Handler serves the metrics of registry and of the process over HTTP.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		format := expfmt.Negotiate(r.Header)
		w.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(w, format)
		for _, family := range Gather(registry) {
			if err := encoder.Encode(family); err != nil {
				return // the client closed the connection
			}
		}
	})
}

// Gather returns all metrics of registry and of the process, sorted by name.
func Gather(registry metrics.Registry) []*model.MetricFamily {
	families := make(map[string]*model.MetricFamily)
	registry.Each(func(name string, metric any) { addToFamily(families, name, metric) })
	processRegistry := metrics.NewRegistry()
	updateProcessMetrics(processRegistry)
	processRegistry.Each(func(name string, metric any) { addToFamily(families, name, metric) })
	out := make([]*model.MetricFamily, 0, len(families))
	for _, family := range families {
		sort.Slice(family.Metric, func(i, j int) bool {
			return sortKey(family.Metric[i]) < sortKey(family.Metric[j])
		})
		out = append(out, family)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

// addToFamily adds a metric to the family of its name, which it creates if needed. It ignores a metric of
// an unknown kind, or of another type than its family.
func addToFamily(families map[string]*model.MetricFamily, name string, metric any) {
	base, labels := splitName(name)
	base = exposedName(base)
	kind, value, ok := convert(base, metric)
	if !ok {
		return
	}
	value.Label = labels
	family, known := families[base]
	if !known {
		help := helpText(base)
		family = &model.MetricFamily{Name: &base, Help: &help, Type: &kind}
		families[base] = family
	}
	if family.GetType() == kind {
		family.Metric = append(family.Metric, value)
	}
}

// sortKey returns the labels of a metric as text, by which the metrics of a family are sorted.
func sortKey(metric *model.Metric) string {
	text := ""
	for _, pair := range metric.Label {
		text += pair.GetName() + "=" + pair.GetValue() + ","
	}
	return text
}
