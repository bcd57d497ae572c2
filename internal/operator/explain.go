package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/query"
)

// timeLayout is the format of decision times, which are in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

// explainColumns are the columns of an explain command's result.
var explainColumns = []query.Column{
	{Name: "at", Type: query.TypeText, Doc: "when it was decided, UTC by the clock of its node"},
	{Name: "node", Type: query.TypeText, Doc: "which run of which node decided"},
	{Name: "decision", Type: query.TypeText, Doc: "what was decided"},
	{Name: "from", Type: query.TypeText, Doc: "the inputs"},
	{Name: "sentence", Type: query.TypeText, Doc: "the same for a person"},
}

// explain runs an explain command.
func (r *Runner) explain(ctx context.Context, in *query.Explain) (*Result, error) {
	if r.options.Explainer == nil {
		return nil, ErrNotAvailable
	}
	kind, _ := explain.ParseKind(in.Kind.Text)
	report, err := r.options.Explainer.Explain(ctx, explain.Subject{Kind: kind, ID: in.ID.Text})
	if err != nil {
		return nil, err
	}
	var rows []query.Row
	var text strings.Builder
	for _, entry := range report.Entries {
		at := entry.At.UTC().Format(timeLayout)
		rows = append(rows, textRow(at, string(entry.Node), entry.Decision.Name, entry.InputsText(), entry.Sentence()))
		fmt.Fprintf(&text, "%s  %s  %s\n    %s", at, entry.Node, entry.Decision.Name, entry.Sentence())
		if inputs := entry.InputsText(); inputs != "" && !entry.IsReasonOnly() {
			fmt.Fprintf(&text, "\n    from: %s", inputs)
		}
		text.WriteByte('\n')
	}
	text.WriteString(coverageNotes(in, &report))
	return &Result{Columns: explainColumns, Rows: rows, Text: text.String(), Decision: Decision{Outcome: OutcomeNone}}, nil
}

// coverageNotes returns a line each for: no decisions found, nodes that did not answer,
// and nodes that were not asked.
func coverageNotes(in *query.Explain, report *explain.Report) string {
	var out strings.Builder
	if len(report.Entries) == 0 {
		fmt.Fprintf(&out, "no node that answered remembers a decision about %s %s\n", in.Kind.Text, in.ID.Text)
	}
	if len(report.Unresponsive) > 0 {
		fmt.Fprintf(&out, "no answer within %s from: %v; the list may lack their decisions\n", time.Second, report.Unresponsive)
	}
	if report.NotAsked > 0 {
		fmt.Fprintf(&out, "%d nodes were not asked\n", report.NotAsked)
	}
	return out.String()
}

// textRow returns a row of text cells.
func textRow(cells ...string) query.Row {
	out := make(query.Row, 0, len(cells))
	for _, cell := range cells {
		out = append(out, query.Cell{Type: query.TypeText, Text: cell})
	}
	return out
}
