package operator

import (
	"strings"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
)

// weightsName is the name of the only row of weights in commands; its key in the
// configuration is empty.
const weightsName = "site"

// setEdit returns the configuration edit for a set command.
func setEdit(set *query.Set) config.Edit {
	out := config.Edit{Table: config.Table(set.Object.Text), Key: set.Name.Text}
	if out.Table == config.TableWeights && out.Key == weightsName {
		out.Key = ""
	}
	for _, field := range set.Fields {
		out.Assignments = append(out.Assignments, config.Assignment{Column: field.Key.Text, Value: field.Value.Text})
	}
	return out
}

// drainEdit returns the configuration edit for a drain command, or false if the
// configuration does not hold drains of that kind.
func drainEdit(in *query.Drain) (config.Edit, bool) {
	if in.Kind.Text != query.KindHost && in.Kind.Text != query.KindUpstream {
		return config.Edit{}, false
	}
	return config.Edit{Table: config.TableDrain, Key: in.Kind.Text + "/" + in.ID.Text}, true
}

// clearEdit returns the configuration edit for a clear command that removes an object
// or a drain, or false if the configuration does not hold what is cleared.
func clearEdit(in *query.Clear, schema query.Schema) (config.Edit, bool) {
	if in.Kind.Text == query.KindDrain {
		return config.Edit{Table: config.TableDrain, Key: in.ID.Text, Remove: true}, true
	}
	object, ok := schema.Object(in.Kind.Text)
	if !ok || !object.Removable {
		return config.Edit{}, false
	}
	return config.Edit{Table: config.Table(object.Name), Key: in.ID.Text, Remove: true}, true
}

// decisionOf converts the outcome of a configuration proposal; faults replace its reason.
func decisionOf(outcome *config.Outcome) Decision {
	out := Decision{Outcome: Outcome(outcome.Kind), Version: outcome.Version, Reason: outcome.Reason}
	var faults []string
	for _, fault := range outcome.Faults {
		faults = append(faults, fault.String())
	}
	if len(faults) > 0 {
		out.Reason = strings.Join(faults, "; ")
	}
	for i, conflicting := range outcome.ConflictingChanges {
		out.ConflictingChanges = append(out.ConflictingChanges, ConflictingChange{Change: conflicting.Change, Version: versionMadeBy(outcome.ConflictingChanges, i), Summary: conflicting.Summary})
	}
	return out
}

// versionMadeBy returns the version that changes[i] made, which is the base of the next
// change; 0 for the last one, as its version is not known.
func versionMadeBy(changes []config.ChangeRecord, i int) uint64 {
	if i+1 < len(changes) {
		return changes[i+1].Base
	}
	return 0
}

// proposalOf returns a proposal that holds one edit.
func proposalOf(change ident.Change, base uint64, edit config.Edit) config.Proposal {
	return config.Proposal{Change: change, BaseVersion: base, Edits: []config.Edit{edit}}
}
