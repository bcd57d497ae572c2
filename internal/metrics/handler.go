package metrics

import (
	"net/http"
	"sort"

	model "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// Handler shows registry, and what the process uses, over HTTP.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		format := expfmt.Negotiate(r.Header)
		w.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(w, format)
		for _, family := range Gather(registry) {
			if err := encoder.Encode(family); err != nil {
				return // the collector has gone
			}
		}
	})
}

// Gather returns every metric of registry and of the process, ordered by name.
func Gather(registry metrics.Registry) []*model.MetricFamily {
	families := make(map[string]*model.MetricFamily)
	registry.Each(func(name string, metric any) { add(families, name, metric) })
	process := metrics.NewRegistry()
	observeProcess(process)
	process.Each(func(name string, metric any) { add(families, name, metric) })
	out := make([]*model.MetricFamily, 0, len(families))
	for _, family := range families {
		sort.Slice(family.Metric, func(i, j int) bool {
			return labelText(family.Metric[i]) < labelText(family.Metric[j])
		})
		out = append(out, family)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetName() < out[j].GetName() })
	return out
}

func add(families map[string]*model.MetricFamily, name string, metric any) {
	base, labels := split(name)
	base = exposed(base)
	kind, value, ok := convert(base, metric)
	if !ok {
		return
	}
	value.Label = labels
	family, known := families[base]
	if !known {
		help := helpOf(base)
		family = &model.MetricFamily{Name: &base, Help: &help, Type: &kind}
		families[base] = family
	}
	if family.GetType() == kind {
		family.Metric = append(family.Metric, value)
	}
}

func labelText(metric *model.Metric) string {
	text := ""
	for _, pair := range metric.Label {
		text += pair.GetName() + "=" + pair.GetValue() + ","
	}
	return text
}
