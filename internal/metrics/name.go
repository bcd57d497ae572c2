// Package metrics exposes a go-metrics registry over HTTP in the Prometheus format.
//
// A metric's name in the registry may carry labels, as in
// `requests.answered{kind="draft"}`; see Name. The exposed name begins with
// "mangoledge_", and its dots are replaced by underscores.
//
// Invariants: names of counters end in _total, and counters only grow; times are in
// seconds and sizes in bytes, and the name contains the unit.
package metrics

import (
	"strings"

	model "github.com/prometheus/client_model/go"
)

// namePrefix is the prefix of the exposed names of this project's metrics.
const namePrefix = "mangoledge_"

// Label is one label of a metric.
type Label struct {
	Name  string
	Value string
}

// Name returns the registry name of the metric base with labels.
func Name(base string, labels ...Label) string {
	if len(labels) == 0 {
		return base
	}
	var out strings.Builder
	out.WriteString(base)
	out.WriteByte('{')
	for i, label := range labels {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteString(label.Name)
		out.WriteString(`="`)
		out.WriteString(labelEscaper.Replace(label.Value))
		out.WriteByte('"')
	}
	out.WriteByte('}')
	return out.String()
}

var (
	labelEscaper   = strings.NewReplacer(`\`, `\\`, `"`, `\"`)
	labelUnescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`)
)

// splitName returns the base and labels of a name built by Name.
func splitName(name string) (string, []*model.LabelPair) {
	base, rest, labelled := strings.Cut(name, "{")
	if !labelled {
		return base, nil
	}
	rest = strings.TrimSuffix(rest, "}")
	var pairs []*model.LabelPair
	for rest != "" {
		key, quoted, ok := strings.Cut(rest, `="`)
		if !ok {
			break
		}
		end := closingQuote(quoted)
		value := labelUnescaper.Replace(quoted[:end])
		pairs = append(pairs, &model.LabelPair{Name: &key, Value: &value})
		rest = strings.TrimPrefix(quoted[min(end+1, len(quoted)):], ",")
	}
	return base, pairs
}

// closingQuote returns the index of the first quote that is not escaped, or the length of text.
func closingQuote(text string) int {
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// exposedName returns the Prometheus name of the metric base.
func exposedName(base string) string {
	out := []byte(base)
	for i, c := range out {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
		digit := c >= '0' && c <= '9' && i > 0
		if !letter && !digit {
			out[i] = '_'
		}
	}
	name := string(out)
	if strings.HasPrefix(name, namePrefix) || strings.HasPrefix(name, "process_") || strings.HasPrefix(name, "go_") {
		return name
	}
	return namePrefix + name
}
