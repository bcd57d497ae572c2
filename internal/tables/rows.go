// Package tables defines the tables that operators can show: one row type
// each, whose fields are the columns.
//
// Invariants: every field of a row has a column name and a description with its
// unit; no column holds a secret or the content of a request.
package tables

// Node is a row of the table nodes: one incarnation of a node as this node knows it.
type Node struct {
	Node          string `column:"node" doc:"the node's name"`
	Incarnation   string `column:"incarnation" doc:"this run of its process"`
	Region        string `column:"region" doc:"its region"`
	FailureDomain string `column:"failureDomain" doc:"its failure domain"`
	State         string `column:"state" doc:"alive, suspect, leaving, dead or left"`
	CallerURL     string `column:"callerUrl" doc:"base URL for callers"`
	PeerAddress   string `column:"peerAddress" doc:"address for other nodes"`
	Successor     string `column:"successor" doc:"who took over its witness table"`
}

// Upstream is a row of the table upstreams.
type Upstream struct {
	ID            string  `column:"id" doc:"the upstream's name"`
	State         string  `column:"state" doc:"starting, ready, leaving or gone"`
	Serves        string  `column:"serves" doc:"its models with commas, or its plain service"`
	Adapters      string  `column:"adapters" doc:"adapters loaded, with commas"`
	Host          string  `column:"host" doc:"the platform's name of its host"`
	HostClass     string  `column:"hostClass" doc:"class of the host"`
	Region        string  `column:"region" doc:"its region"`
	FailureDomain string  `column:"failureDomain" doc:"its failure domain"`
	Slots         int     `column:"slots" doc:"requests it runs at once"`
	PricePerHour  float64 `column:"pricePerHour" doc:"price of the host per hour, in the site's currency"`
	Reclaimable   bool    `column:"reclaimable" doc:"true when the platform may take the host"`
	ChecksFencing bool    `column:"checksFencing" doc:"true when it refuses orders with an old fencing number"`
	URL           string  `column:"url" doc:"base URL"`
}

// Request is a row of the table requests: a request that a node runs or remembers.
type Request struct {
	ID         string `column:"id" doc:"the request's ID"`
	Workspace  string `column:"workspace" doc:"the caller's workspace"`
	Kind       string `column:"kind" doc:"kind of work"`
	Serves     string `column:"serves" doc:"model or plain service asked for"`
	Phase      string `column:"phase" doc:"waiting, running, done, failed or cancelled"`
	Priority   int    `column:"priority" doc:"0 to 9, 9 the most urgent"`
	Idempotent bool   `column:"idempotent" doc:"false when it must not run twice"`
	Stream     bool   `column:"stream" doc:"true when it is answered token by token"`
	Tokens     int    `column:"tokens" doc:"tokens known so far"`
	Moves      int    `column:"moves" doc:"changes of upstream or node"`
	Upstream   string `column:"upstream" doc:"where it was last sent"`
	Holder     string `column:"holder" doc:"the incarnation that runs it"`
	Deadline   string `column:"deadline" doc:"when its answer stops being of use, UTC"`
	Failure    string `column:"failure" doc:"code and verdict when it failed"`
}

// Workspace is a row of the table workspaces.
type Workspace struct {
	Name        string  `column:"name" doc:"the workspace's name"`
	Share       float64 `column:"share" doc:"its weight in fair queueing"`
	MaxInFlight int     `column:"maxInFlight" doc:"requests at once on one node, 0 for no limit"`
}

// Model is a row of the table models.
type Model struct {
	Name     string `column:"name" doc:"the model's name"`
	Version  string `column:"version" doc:"version of its weights"`
	Adapters string `column:"adapters" doc:"adapters wanted, with commas"`
	Role     string `column:"role" doc:"role that its engines are ordered to take"`
	Replicas int    `column:"replicas" doc:"replicas wanted"`
	Ready    int    `column:"ready" doc:"replicas that take work, as this node knows"`
	Priority int    `column:"priority" doc:"0 to 9, 9 the most urgent when capacity is short"`
}

// Service is a row of the table services.
type Service struct {
	Name       string `column:"name" doc:"the plain service's name"`
	Repeatable bool   `column:"repeatable" doc:"false when its calls must not be repeated"`
	Ready      int    `column:"ready" doc:"upstreams that take work, as this node knows"`
}

// Kind is a row of the table kinds.
type Kind struct {
	Name  string  `column:"name" doc:"kind of work"`
	Worth float64 `column:"worth" doc:"weight of an answer that is whole and in time"`
}

// Capacity is a row of the table capacity.
type Capacity struct {
	FailureDomain   string  `column:"failureDomain" doc:"failure domain"`
	HostClass       string  `column:"hostClass" doc:"host class"`
	MaxHosts        int     `column:"maxHosts" doc:"most hosts to pay for"`
	MaxPricePerHour float64 `column:"maxPricePerHour" doc:"highest price per host and hour, in the site's currency"`
	Reclaimable     bool    `column:"reclaimable" doc:"which market the hosts come from"`
	ChecksFencing   bool    `column:"checksFencing" doc:"true when engines there refuse orders with an old fencing number"`
}

// Config is a row of the table config: the configuration in force.
type Config struct {
	Version       int     `column:"version" doc:"version in force on this node"`
	Change        string  `column:"change" doc:"the change that made it"`
	LatencyWeight float64 `column:"latencyWeight" doc:"weight of the latency target, 0 to 1"`
	Stale         string  `column:"stale" doc:"why it may be out of date; empty when it is not"`
}

// Lease is a row of the table leases: a leased duty as the store has it, or as this node saw it last when the store does not answer.
type Lease struct {
	Name    string `column:"name" doc:"the duty"`
	Holder  string `column:"holder" doc:"the incarnation that holds it; empty after a release"`
	Fencing int    `column:"fencing" doc:"fencing number of the holder"`
	TTLMs   int    `column:"ttlMs" doc:"for how long a renewal holds, in milliseconds"`
	Here    bool   `column:"here" doc:"true when this node holds it now"`
}

// Poison is a row of the table poison: content that crashed upstreams.
type Poison struct {
	ID        string `column:"id" doc:"digest of the content"`
	Crashes   int    `column:"crashes" doc:"crashes that count against it"`
	Refused   bool   `column:"refused" doc:"true when it is refused from now on"`
	ClearedAt string `column:"clearedAt" doc:"when an operator cleared it last, UTC"`
}

// Rollout is a row of the table rollouts: a model whose replicas do not all have its version.
type Rollout struct {
	Model    string `column:"model" doc:"the model's name"`
	Version  string `column:"version" doc:"version that is rolled out"`
	Replicas int    `column:"replicas" doc:"replicas wanted"`
	Ready    int    `column:"ready" doc:"replicas that take work with that version"`
	Outdated int    `column:"outdated" doc:"replicas that have another version"`
	State    string `column:"state" doc:"rolling, or waits for a spare host"`
}

// Drain is a row of the table drains.
type Drain struct {
	ID        string `column:"id" doc:"what is drained, host/<id> or upstream/<id>"`
	Change    string `column:"change" doc:"the change that asked for it"`
	Upstreams int    `column:"upstreams" doc:"upstreams that it keeps new work from, as this node knows"`
}

// Host is a row of the table hosts.
type Host struct {
	ID            string  `column:"id" doc:"the platform's name"`
	State         string  `column:"state" doc:"starting, live, leaving or gone"`
	FailureDomain string  `column:"failureDomain" doc:"its failure domain"`
	HostClass     string  `column:"hostClass" doc:"its class"`
	Reclaimable   bool    `column:"reclaimable" doc:"true when the platform may take it"`
	PricePerHour  float64 `column:"pricePerHour" doc:"price per hour, in the site's currency"`
	Upstreams     int     `column:"upstreams" doc:"upstreams on it"`
}

// Change is a row of the table changes: the latest changes of the configuration, oldest first.
type Change struct {
	ID      string `column:"id" doc:"the change's ID"`
	Base    int    `column:"base" doc:"version that it replaced"`
	Version int    `column:"version" doc:"version that it made"`
	Command string `column:"command" doc:"what it changed"`
}
