package peers

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/poison"
)

// DetailLevel selects how much of a node's state a message carries.
type DetailLevel uint8

const (
	// Brief messages carry only what other nodes act on at once, and no maps or lists.
	Brief DetailLevel = iota
	// Standard messages carry everything but the counts of the usage report.
	Standard
	// Full messages carry everything.
	Full
)

// Message is a node's state as sent to the other nodes. In Spent, Loads, Usage, Demand and Rollouts, nil
// means "unchanged since the last message of the same process"; an empty map or list means that
// there are no entries any more.
type Message struct {
	Node        string `msgpack:"n"`
	Incarnation string `msgpack:"i"`
	// Sequence increases with each message of an incarnation.
	Sequence uint64 `msgpack:"s"`
	// PreviousIncarnation is the incarnation of the node before this one; empty if not known yet.
	PreviousIncarnation string `msgpack:"p,omitempty"`
	// Ready is true at nodes that accept requests, Leaving at those that are shutting down.
	Ready           bool   `msgpack:"r"`
	Leaving         bool   `msgpack:"l"`
	FrontendAddress string `msgpack:"f"`
	ControlAddress  string `msgpack:"c"`
	// Address is the node's UDP address for messages.
	Address       string `msgpack:"e"`
	FailureDomain string `msgpack:"d"`
	// LinkMbps is the speed of the node's network link. The nodes with the fastest links watch
	// the store on behalf of the others.
	LinkMbps float64 `msgpack:"b"`
	// ConfigVersion is the version of the configuration in force at the node.
	ConfigVersion int64 `msgpack:"v"`
	// WatchesStore is true at nodes that watch the platform's store themselves. UpstreamChanges
	// counts the changes to upstreams that they saw there.
	WatchesStore    bool   `msgpack:"w"`
	UpstreamChanges uint64 `msgpack:"h"`
	// StoreEra is the latest era of the platform's store that the node has seen.
	StoreEra uint64 `msgpack:"g,omitempty"`
	// HoldsDutyLease is true at the node that holds the leader lease (for autoscaling and
	// usage reports).
	HoldsDutyLease bool `msgpack:"k"`
	// StoreAgeMs is the time since the node last heard from the store, in milliseconds.
	StoreAgeMs int64 `msgpack:"a"`
	// Forwards is true at nodes that forward messages within their failure domain, and accept
	// forwarded ones. Forward asks the receiver to do so.
	Forwards bool `msgpack:"y,omitempty"`
	Forward  bool `msgpack:"z,omitempty"`
	// Spent is the total spent by each workspace at the node so far, in quota units.
	Spent map[string]float64 `msgpack:"q"`
	// Loads is the node's outstanding work at each upstream.
	Loads []Load `msgpack:"o"`
	// Usage counts the requests that started in the latest windows, by window and workspace.
	Usage map[int64]map[string]int64 `msgpack:"u"`
	// Crashed lists request contents that crashed upstreams.
	Crashed []poison.Entry `msgpack:"x,omitempty"`
	// Suspects is the evidence against parts of prompts that may crash upstreams.
	Suspects []poison.Suspect `msgpack:"j,omitempty"`
	// Timings are the latest times to the first event at upstreams, packed (profile.Pack), and
	// TimingCount is the number of timings at the node so far, these included.
	Timings     []byte `msgpack:"t,omitempty"`
	TimingCount uint64 `msgpack:"tc,omitempty"`
	// Demand is the recent arrival rate of work for autoscaled services.
	Demand map[string]Demand `msgpack:"m"`
	// Rollouts is what the node has seen of versions that are being rolled out.
	Rollouts []rollout.Report `msgpack:"ro,omitempty"`
}

// withDefaultsFrom returns the message with Spent, Loads, Usage, Demand and Rollouts, where nil,
// taken from before, the previous message of the same process.
func (m *Message) withDefaultsFrom(before *Message) Message {
	out := *m
	if out.Spent == nil {
		out.Spent = before.Spent
	}
	if out.Loads == nil {
		out.Loads = before.Loads
	}
	if out.Usage == nil {
		out.Usage = before.Usage
	}
	if out.Demand == nil {
		out.Demand = before.Demand
	}
	if out.Rollouts == nil {
		out.Rollouts = before.Rollouts
	}
	return out
}

// Load is a node's outstanding work at one upstream.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec: a list in place of a map halves a message
	// Upstream is the hash of the upstream's ID.
	Upstream uint32 `msgpack:"u"`
	Requests int    `msgpack:"r"`
	// Prefill is the number of prompt tokens sent for which no first event has come back.
	Prefill int `msgpack:"p"`
}

// Demand is the arrival rate of work for a service over the last seconds, in tokens per second.
type Demand struct {
	// Prefill counts prompt tokens that no cache was known to hold, those of refused requests
	// included.
	Prefill float64 `msgpack:"p"`
	// Output counts the output tokens that the requests may generate at most.
	Output float64 `msgpack:"o"`
}

// encode returns the message as a datagram.
func (m *Message) encode() ([]byte, error) {
	data, err := msgpack.Marshal(m)
	return data, errors.Wrap(err, "message")
}

// decodeMessage decodes and checks a datagram.
func decodeMessage(data []byte) (*Message, error) {
	// The decoder allocates as many entries as a map or list header claims. Skipping through
	// the data first detects a header that claims more than there is.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	var m Message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	if m.Node == "" || m.Incarnation == "" {
		return nil, errors.New("peer message has no node or incarnation")
	}
	return &m, nil
}
