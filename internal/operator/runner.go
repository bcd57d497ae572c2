package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
)

// ErrNotAvailable is returned for commands that this node can't run.
var ErrNotAvailable = errors.New("this node can't run that command")

// Runner runs commands of the operators' language. It is safe for concurrent use.
type Runner struct {
	options Options
}

// NewRunner returns a Runner.
func NewRunner(options Options) *Runner {
	return &Runner{options: options}
}

// Run runs one command. Its error is a *query.Error if the command is invalid.
func (r *Runner) Run(ctx context.Context, in Command) (*Result, error) {
	command, err := query.Parse(in.Text, r.options.Schema)
	if err != nil {
		return nil, err
	}
	if command.Changes() {
		return r.runChange(ctx, in, command)
	}
	switch {
	case command.Show != nil:
		return r.show(ctx, in.Text, command.Show)
	case command.Explain != nil:
		return r.explain(ctx, command.Explain)
	}
	return r.dump()
}

// show runs a show command, on all nodes if each keeps its own part of the table.
func (r *Runner) show(ctx context.Context, text string, show *query.Show) (*Result, error) {
	table, _ := r.options.Schema.Table(show.Table.Text)
	if table.PerNode && r.options.RowCollector != nil {
		rows, notes := r.options.RowCollector.collect(ctx, text, table)
		out := rowsResult(table.Columns, query.Select(show, table, rows))
		for _, note := range notes {
			out.Text += note + "\n"
		}
		return out, nil
	}
	if r.options.Tables == nil {
		return nil, ErrNotAvailable
	}
	rows, err := r.options.Tables.Rows(ctx, table.Name)
	if err != nil {
		return nil, err
	}
	return rowsResult(table.Columns, query.Select(show, table, rows)), nil
}

// dump runs a dump command.
func (r *Runner) dump() (*Result, error) {
	if r.options.Dumper == nil {
		return nil, ErrNotAvailable
	}
	text, err := dumpJSON(r.options.Dumper)
	if err != nil {
		return nil, err
	}
	return &Result{Text: string(text) + "\n", Decision: Decision{Outcome: OutcomeNone}}, nil
}

// runChange runs a command that changes something and records it in the journal.
func (r *Runner) runChange(ctx context.Context, in Command, command *query.Command) (*Result, error) {
	if in.Change == "" {
		in.Change = ident.Change("c-" + strings.ToLower(rand.Text()))
	}
	decision, err := r.applyChange(ctx, in, command)
	if err != nil {
		return nil, err
	}
	r.recordChange(in, decision)
	out := &Result{Change: in.Change, Decision: decision}
	out.Text = changeText(in.Change, decision)
	return out, nil
}

// applyChange proposes a change of the configuration, or sends an order for what the
// configuration does not hold.
func (r *Runner) applyChange(ctx context.Context, in Command, command *query.Command) (Decision, error) {
	switch {
	case command.Set != nil:
		return r.proposeEdit(ctx, in, setEdit(command.Set))
	case command.Drain != nil:
		if edit, ok := drainEdit(command.Drain); ok {
			return r.declareDrain(ctx, in, edit)
		}
		if r.options.Orders == nil {
			return Decision{}, ErrNotAvailable
		}
		return r.options.Orders.Drain(ctx, command.Drain.Kind.Text, command.Drain.ID.Text), nil
	case command.Clear != nil:
		if edit, ok := clearEdit(command.Clear, r.options.Schema); ok {
			return r.proposeEdit(ctx, in, edit)
		}
		if r.options.Orders != nil {
			return r.options.Orders.Clear(ctx, command.Clear.Kind.Text, command.Clear.ID.Text), nil
		}
	}
	return Decision{}, ErrNotAvailable
}

// proposeEdit proposes a change of the configuration.
func (r *Runner) proposeEdit(ctx context.Context, in Command, edit config.Edit) (Decision, error) {
	if r.options.Editor == nil {
		return Decision{}, ErrNotAvailable
	}
	outcome, err := r.options.Editor.Propose(ctx, proposalOf(in.Change, in.BaseVersion, edit))
	if err != nil {
		return Decision{}, err
	}
	return decisionOf(&outcome), nil
}

// Recorded decisions about changes, with the version made or with a reason.
var (
	decisionChangeVersion = &explain.Decision{Name: "change", Sentence: "{by} asked for `{command}`; the outcome was {outcome}, version {version}."}
	decisionChangeReason  = &explain.Decision{Name: "change", Sentence: "{by} asked for `{command}`; the outcome was {outcome}: {reason}."}
)

// recordChange records a change and its outcome in the journal.
func (r *Runner) recordChange(in Command, decision Decision) {
	by, command := explain.Text("by", in.OperatorName), explain.Text("command", in.Text)
	outcome := explain.Text("outcome", decision.Outcome)
	if decision.Version > 0 {
		r.options.Journal.Record(explain.KindChange, string(in.Change), decisionChangeVersion, by, command, outcome, explain.Number("version", decision.Version))
		return
	}
	reason := explain.Text("reason", decision.Reason)
	if len(decision.ConflictingChanges) > 0 {
		reason.Text = "change " + string(decision.ConflictingChanges[0].Change) + " came first"
	}
	r.options.Journal.Record(explain.KindChange, string(in.Change), decisionChangeReason, by, command, outcome, reason)
}

// changeText describes the outcome of a change and what to do next.
func changeText(change ident.Change, decision Decision) string {
	out := fmt.Sprintf("change %s: %s", change, decision.Outcome)
	if decision.Version > 0 {
		out += fmt.Sprintf(", version %d", decision.Version)
	}
	if decision.Reason != "" {
		out += ": " + decision.Reason
	}
	for _, conflicting := range decision.ConflictingChanges {
		out += fmt.Sprintf("\ncame first: change %s: %s", conflicting.Change, conflicting.Summary)
	}
	if decision.Outcome == OutcomeConflict {
		out += "\nlook at `show config` and decide anew"
	}
	if decision.Outcome == OutcomeUnknown {
		out += fmt.Sprintf("\nsend the same command again with --change-id %s to learn what became of it", change)
	}
	return out + "\n"
}
