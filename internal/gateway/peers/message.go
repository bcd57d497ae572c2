package peers

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"mangoledge.example/mangoledge/internal/poison"
)

// Content is how much a message holds.
type Content uint8

const (
	// Brief messages tell what other nodes act on at once, and no sums.
	Brief Content = iota
	// Usual messages tell all but the counts of the usage report.
	Usual
	// Full messages tell all.
	Full
)

// Message is what a node tells the others of itself. A map or list that is nil stands
// as the same process told it before; one that is empty holds nothing any more.
type Message struct {
	Node        string `msgpack:"n"`
	Incarnation string `msgpack:"i"`
	// Sequence grows with each message of an incarnation.
	Sequence uint64 `msgpack:"s"`
	// Previous is the incarnation of the node before this one; empty while it is not known.
	Previous string `msgpack:"p,omitempty"`
	// Ready nodes take requests; leaving ones are about to end.
	Ready   bool   `msgpack:"r"`
	Leaving bool   `msgpack:"l"`
	Front   string `msgpack:"f"`
	Control string `msgpack:"c"`
	// Address is where the node takes messages.
	Address string `msgpack:"e"`
	Domain  string `msgpack:"d"`
	// LinkMbps is the speed of the node's link; nodes with the fastest follow the store
	// for the others.
	LinkMbps float64 `msgpack:"b"`
	// ConfigVersion is the version in force at the node.
	ConfigVersion int64 `msgpack:"v"`
	// Watching nodes follow the platform's store themselves; Changes counts what changed
	// among the upstreams there.
	Watching bool   `msgpack:"w"`
	Changes  uint64 `msgpack:"h"`
	// HoldsDuty is true at the node that holds the lease of the duties.
	HoldsDuty bool `msgpack:"k"`
	// StoreAgeMs is how long ago the node last heard the store, in milliseconds.
	StoreAgeMs int64 `msgpack:"a"`
	// Spent is what each workspace spent at the node so far, in quota units.
	Spent map[string]float64 `msgpack:"q"`
	// Loads is what the node has sent to upstreams and not got back.
	Loads []Load `msgpack:"o"`
	// Usage counts the requests that began in the latest windows, by window and workspace.
	Usage map[int64]map[string]int64 `msgpack:"u"`
	// Crashed lists contents that crashed upstreams.
	Crashed []poison.Entry `msgpack:"x,omitempty"`
	// Demand is what arrived for scaled services lately.
	Demand map[string]Demand `msgpack:"m"`
}

// completed returns the message with what it leaves out as the one before it told it.
func (m *Message) completed(before *Message) Message {
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
	return out
}

// Load is a node's open work at one upstream.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec: a list in place of a map halves a message
	// Upstream is a hash of the upstream's ID.
	Upstream uint32 `msgpack:"u"`
	Requests int    `msgpack:"r"`
	// Prefill is the prompt tokens that were sent and not yet answered by a first event.
	Prefill int `msgpack:"p"`
}

// Demand is the work that a service got over the last seconds, a second.
type Demand struct {
	// Prefill is prompt tokens that no cache was known to hold, refused requests included.
	Prefill float64 `msgpack:"p"`
	// Output is generated tokens.
	Output float64 `msgpack:"o"`
}

// encode returns the datagram of a message.
func (m *Message) encode() ([]byte, error) {
	data, err := msgpack.Marshal(m)
	return data, errors.Wrap(err, "message")
}

// decodeMessage reads a datagram.
func decodeMessage(data []byte) (*Message, error) {
	// The decoder makes room for as many entries as a map or list claims to hold; going
	// through them first tells whether they are there.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	var m Message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "message")
	}
	if m.Node == "" || m.Incarnation == "" {
		return nil, errors.New("message names no node")
	}
	return &m, nil
}
