package tables

import (
	"reflect"

	"mangoledge.example/mangoledge/internal/query"
)

// columnTag and docTag are the struct tags for the name and description of a column.
const (
	columnTag = "column"
	docTag    = "doc"
)

// tableDefinition defines one table and its row type.
type tableDefinition struct {
	name string
	doc  string
	row  reflect.Type
}

var tableDefinitions = []tableDefinition{
	{"nodes", "nodes of the site as this node knows them", reflect.TypeFor[Node]()},
	{"upstreams", "model replicas and plain services", reflect.TypeFor[Upstream]()},
	{"requests", "requests that the nodes run or remember", reflect.TypeFor[Request]()},
	{"workspaces", "workspaces declared", reflect.TypeFor[Workspace]()},
	{"models", "models declared, and replicas ready", reflect.TypeFor[Model]()},
	{"services", "plain services declared", reflect.TypeFor[Service]()},
	{"kinds", "kinds of work and their worth", reflect.TypeFor[Kind]()},
	{"capacity", "capacity to pay for", reflect.TypeFor[Capacity]()},
	{"config", "the configuration in force on this node", reflect.TypeFor[Config]()},
	{"leases", "leases and their holders", reflect.TypeFor[Lease]()},
	{"rollouts", "models whose new version is being rolled out, told by the node that reconciles", reflect.TypeFor[Rollout]()},
	{"drains", "hosts and upstreams that operators drain, until they clear it", reflect.TypeFor[Drain]()},
	{"poison", "content that crashed upstreams", reflect.TypeFor[Poison]()},
	{"hosts", "hosts of upstreams", reflect.TypeFor[Host]()},
	{"changes", "changes of configuration that this node has seen", reflect.TypeFor[Change]()},
}

// objects holds the objects of the configuration that set accepts.
var objects = []query.Object{
	{Name: "model", Removable: true, Doc: "a model that the site runs", NameDoc: "the model's name", Keys: []query.Column{
		{Name: "version", Type: query.TypeText, Doc: "version of its weights"},
		{Name: "replicas", Type: query.TypeNumber, Doc: "replicas wanted, a whole number"},
		{Name: "priority", Type: query.TypeNumber, Doc: "0 to 9, 9 the most urgent"},
		{Name: "adapters", Type: query.TypeList, Doc: "adapters wanted, with commas"},
		{Name: "role", Type: query.TypeText, Doc: "role that its engines are ordered to take, in their own words"},
	}},
	{Name: "service", Removable: true, Doc: "a plain service", NameDoc: "the service's name", Keys: []query.Column{
		{Name: "repeatable", Type: query.TypeBool, Doc: "false when its calls must not be repeated"},
	}},
	{Name: "workspace", Removable: true, Doc: "a customer's workspace", NameDoc: "the workspace's name", Keys: []query.Column{
		{Name: "share", Type: query.TypeNumber, Doc: "its weight in fair queueing, above 0"},
		{Name: "maxInFlight", Type: query.TypeNumber, Doc: "requests at once on one node, 0 for no limit"},
	}},
	{Name: "kind", Removable: true, Doc: "a kind of work", NameDoc: "the kind's name", Keys: []query.Column{
		{Name: "worth", Type: query.TypeNumber, Doc: "weight of an answer that is whole and in time, 0 or more"},
	}},
	{Name: "capacity", Removable: true, Doc: "capacity to pay for", NameDoc: "<failure domain>/<host class>/reclaimable or .../on-demand", Keys: []query.Column{
		{Name: "maxHosts", Type: query.TypeNumber, Doc: "most hosts to pay for, a whole number"},
		{Name: "maxPricePerHour", Type: query.TypeNumber, Doc: "highest price per host and hour, 0 or more"},
		{Name: "checksFencing", Type: query.TypeBool, Doc: "true when the engines there refuse orders with an old fencing number"},
	}},
	{Name: "weights", Doc: "what the site favours", NameDoc: "always site", Keys: []query.Column{
		{Name: "latency", Type: query.TypeNumber, Doc: "weight of the latency target, 0 to 1; cost has the rest"},
	}},
}

// perNodeTables holds the row types of tables of which each node keeps its own part.
var perNodeTables = map[reflect.Type]bool{
	reflect.TypeFor[Request](): true,
	reflect.TypeFor[Rollout](): true,
}

// Schema returns the schema of the operators' language: all tables and objects.
func Schema() query.Schema {
	out := query.Schema{Objects: objects}
	for _, d := range tableDefinitions {
		out.Tables = append(out.Tables, query.Table{Name: d.name, Doc: d.doc, Columns: columnsOf(d.row), PerNode: perNodeTables[d.row]})
	}
	return out
}

// columnsOf returns the columns of a row type, from the tags and types of its fields.
func columnsOf(row reflect.Type) []query.Column {
	var out []query.Column
	for i := range row.NumField() {
		field := row.Field(i)
		out = append(out, query.Column{
			Name: field.Tag.Get(columnTag),
			Type: typeOf(field.Type.Kind()),
			Doc:  field.Tag.Get(docTag),
		})
	}
	return out
}

// typeOf returns the column type for a field's kind.
func typeOf(kind reflect.Kind) query.Type {
	switch kind {
	case reflect.Int, reflect.Float64:
		return query.TypeNumber
	case reflect.Bool:
		return query.TypeBool
	default:
		return query.TypeText
	}
}
