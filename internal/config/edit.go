package config

import (
	"strings"
)

// Table is the name of a configuration table.
type Table string

// The configuration tables.
const (
	TableModel     Table = "model"
	TableService   Table = "service"
	TableWorkspace Table = "workspace"
	TableKind      Table = "kind"
	// TableCapacity has keys "<failure domain>/<host class>/<market>"; the market is
	// "reclaimable" or "on-demand", and may be omitted unless rows for both exist.
	TableCapacity Table = "capacity"
	// TableWeights has one row, with an empty key.
	TableWeights Table = "weights"
	// TableDrain has keys "host/<id>" and "upstream/<id>" and no columns.
	TableDrain Table = "drain"
)

// Assignment sets one column of a row.
type Assignment struct {
	Column string `json:"column"`
	Value  string `json:"value"`
}

// Edit adds, changes or removes one row of a table, or replaces the whole configuration.
type Edit struct {
	Table Table  `json:"table"`
	Key   string `json:"key,omitempty"`
	// Assignments are applied to the row, which is added if it does not exist.
	Assignments []Assignment `json:"assignments,omitempty"`
	// Remove removes the row.
	Remove bool `json:"remove,omitempty"`
	// Replace replaces the whole configuration except for the drains, which are
	// kept; Table is then empty.
	Replace *Site `json:"replace,omitempty"`
}

// String returns the edit as an operator command.
func (e Edit) String() string {
	if e.Replace != nil {
		return "replace the whole configuration"
	}
	if e.Table == TableDrain && !e.Remove {
		return "drain " + strings.Replace(e.Key, "/", " ", 1)
	}
	if e.Remove {
		return strings.TrimSpace("clear " + string(e.Table) + " " + e.Key)
	}
	words := []string{"set", string(e.Table)}
	if e.Key != "" {
		words = append(words, e.Key)
	}
	for _, a := range e.Assignments {
		words = append(words, a.Column+"="+a.Value)
	}
	return strings.Join(words, " ")
}

// Tables returns the tables that the set command edits, for help and completion.
func Tables() []Table {
	return []Table{TableModel, TableService, TableWorkspace, TableKind, TableCapacity, TableWeights}
}

// apply applies the edit to site and returns the faults of the edit.
func (e Edit) apply(site *Site) []Fault {
	if e.Replace != nil {
		version, change, drains := site.Version, site.Change, site.Drains
		*site = *cloneSite(e.Replace)
		site.Version, site.Change, site.Drains = version, change, drains
		return nil
	}
	switch e.Table {
	case TableModel:
		return editRow(e, &site.Models, modelColumns, modelKey)
	case TableService:
		return editRow(e, &site.Services, serviceColumns, serviceKey)
	case TableWorkspace:
		return editRow(e, &site.Workspaces, workspaceColumns, workspaceKey)
	case TableKind:
		return editRow(e, &site.Kinds, kindColumns, kindKey)
	case TableCapacity:
		return editCapacity(e, site)
	case TableWeights:
		return assign(e, &site.Weights, weightsColumns)
	case TableDrain:
		return editDrain(e, site)
	}
	return []Fault{{Path: "table", Value: string(e.Table), Allowed: "one of " + joinTables()}}
}

func joinTables() string {
	names := make([]string, 0, len(Tables()))
	for _, t := range Tables() {
		names = append(names, string(t))
	}
	return strings.Join(names, ", ")
}
