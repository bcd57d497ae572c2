package operator

import (
	"strings"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
)

// weightsName is the name by which commands call the one row of weights.
const weightsName = "site"

// setEdit returns the edit that a set command asks for.
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

// drainEdit returns the edit that a drain command asks for, or false for a drain
// that is no part of the configuration.
func drainEdit(in *query.Drain) (config.Edit, bool) {
	if in.Kind.Text != query.KindHost && in.Kind.Text != query.KindUpstream {
		return config.Edit{}, false
	}
	return config.Edit{Table: config.TableDrain, Key: in.Kind.Text + "/" + in.ID.Text}, true
}

// removal returns the edit that removes an object or a drain, or false for what is
// no part of the configuration.
func removal(in *query.Clear, schema query.Schema) (config.Edit, bool) {
	if in.Kind.Text == query.KindDrain {
		return config.Edit{Table: config.TableDrain, Key: in.ID.Text, Remove: true}, true
	}
	object, ok := schema.Object(in.Kind.Text)
	if !ok || !object.Removable {
		return config.Edit{}, false
	}
	return config.Edit{Table: config.Table(object.Name), Key: in.ID.Text, Remove: true}, true
}

// decisionOf turns the configuration's outcome into ours.
func decisionOf(outcome *config.Outcome) Decision {
	out := Decision{Outcome: Outcome(outcome.Kind), Version: outcome.Version, Reason: outcome.Reason}
	var faults []string
	for _, fault := range outcome.Faults {
		faults = append(faults, fault.String())
	}
	if len(faults) > 0 {
		out.Reason = strings.Join(faults, "; ")
	}
	for i, won := range outcome.ConflictingChanges {
		out.Won = append(out.Won, Winner{Change: won.Change, Version: madeBy(outcome.ConflictingChanges, i), Summary: won.Summary})
	}
	return out
}

// madeBy returns the version that change i made, which is the base of the next; 0 when it is not told.
func madeBy(changes []config.ChangeRecord, i int) uint64 {
	if i+1 < len(changes) {
		return changes[i+1].Base
	}
	return 0
}

// proposalOf returns the proposal of one edit.
func proposalOf(change ident.Change, base uint64, edit config.Edit) config.Proposal {
	return config.Proposal{Change: change, BaseVersion: base, Edits: []config.Edit{edit}}
}
