package peers

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// BaseInterval is the interval at which a node of a small site sends its state to each
	// other node.
	BaseInterval = 200 * time.Millisecond
	// intervalPerNode lengthens the interval at large sites, where every node receives the
	// messages of all others.
	intervalPerNode = 5 * time.Millisecond
	// minInterval is the shortest pause between two batches of messages, urgent ones included.
	minInterval = 30 * time.Millisecond
	// batchNodes is the number of nodes sent to at once. A message is 1 to 2 KB, and callers'
	// tokens queue behind it on links of 10 Mbit/s.
	batchNodes = 8
	// maxDatagramBytes is the largest message accepted.
	maxDatagramBytes = 60 << 10
)

// PropagationInterval returns the longest time between a change at a node and the arrival of the
// message that reports it, at a site of the given size, as long as no message is lost.
func PropagationInterval(nodes int) time.Duration {
	if nodes <= maxDirectNodes {
		return Interval(nodes)
	}
	return Interval(nodes) + 2*forwardDelay // collecting, and sending in batches
}

// Interval returns the interval at which a node sends its state, at a site of the given size.
func Interval(nodes int) time.Duration {
	return max(BaseInterval, time.Duration(nodes)*intervalPerNode)
}

// Messenger sends this node's state to the other nodes and receives theirs.
type Messenger struct {
	conn *net.UDPConn
	// closeConn closes conn once; it returns when the address is free.
	closeConn func()
	registry  *Registry
	// Compose returns the next message, at the given level of detail.
	Compose func(DetailLevel) *Message
	// PlanRound is called once per round, with its number; the function it returns says how the
	// regular message reaches each node.
	PlanRound func(round uint64) func(node string) Delivery
	// Has reports whether a message need not be decoded, as it or a newer one was received.
	Has func(node, incarnation string, sequence uint64) bool
	// ForwardTargets returns the addresses to which messages of other failure domains are
	// forwarded.
	ForwardTargets func() []string
	// OnMessage is called with each message, from one goroutine.
	OnMessage func(*Message)
	logger    *slog.Logger
	sendNow   chan struct{}
	forwarder *forwarder
	// round counts the rounds of messages.
	round uint64
}

// Listen opens the UDP socket for messages at address.
func Listen(address string, registry *Registry, logger *slog.Logger) (*Messenger, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	closeConn := sync.OnceFunc(func() { _ = conn.Close() }) // nothing is left to be sent
	return &Messenger{conn: conn, closeConn: closeConn, registry: registry, logger: logger, sendNow: make(chan struct{}, 1)}, nil
}

// Close closes the socket. Another messenger may listen on its address once Close has returned.
func (e *Messenger) Close() { e.closeConn() }

// SendNow sends a message to all other nodes without waiting for the interval.
func (e *Messenger) SendNow() {
	select {
	case e.sendNow <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx ends.
func (e *Messenger) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, e.closeConn)
	defer stop()
	e.forwarder = newForwarder(e.ForwardTargets, e.sendTo, e.logger)
	go e.forwarder.run(ctx)
	go e.receive(ctx)
	for ctx.Err() == nil {
		e.sendRound(ctx)
	}
}

// sendRound sends one message to each other node, in batches spread over one interval. When
// SendNow is called in between, a brief message goes to all nodes at once and the round
// continues.
func (e *Messenger) sendRound(ctx context.Context) {
	others := e.registry.Others()
	names := slices.Sorted(maps.Keys(others))
	deliver := e.PlanRound(e.round)
	e.round++
	batches := max(1, (len(names)+batchNodes-1)/batchNodes)
	pause := max(minInterval, Interval(len(names))/time.Duration(batches))
	for i := range batches {
		batch := names[i*batchNodes : min((i+1)*batchNodes, len(names))]
		e.send(others, batch, deliver)
		if e.waitForUrgent(ctx, pause) {
			e.send(others, names, func(string) Delivery { return Delivery{Detail: Brief} })
		}
	}
}

// waitForUrgent waits for d and returns false; it returns true early if SendNow is called. It
// always waits at least minInterval.
func (e *Messenger) waitForUrgent(ctx context.Context, d time.Duration) bool {
	time.Sleep(minInterval)
	timer := time.NewTimer(d - minInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.sendNow:
		return true
	}
	return false
}

// send sends a message to each of names that receives it directly. Datagrams are not retransmitted:
// the next message replaces a lost one.
func (e *Messenger) send(others map[string]Record, names []string, deliver func(string) Delivery) {
	encoded := make(map[Delivery][]byte)
	for _, name := range names {
		delivery := deliver(name)
		if delivery.Skip {
			continue
		}
		if encoded[delivery] == nil {
			m := e.Compose(delivery.Detail)
			m.Forward = delivery.Forward
			data, err := m.encode()
			if err != nil {
				e.logger.Error("could not encode peer message", "error", err)
				return
			}
			encoded[delivery] = data
		}
		e.sendTo(encoded[delivery], others[name].Address)
	}
}

// sendTo sends a datagram.
func (e *Messenger) sendTo(data []byte, address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		e.logger.Warn("node record has no valid address", "address", address, "error", err)
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(data, to) // the next message replaces a lost one
}

// receive reads messages until ctx ends.
func (e *Messenger) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				time.Sleep(BaseInterval)
			}
			continue
		}
		if err := e.handle(buffer[:n]); err != nil {
			e.logger.Warn("ignoring invalid peer message", "from", from.String(), "error", err)
		}
	}
}

// handle handles a datagram, and queues the message in it for forwarding if it asks for that.
func (e *Messenger) handle(data []byte) error {
	if isBundle(data) {
		return e.handleBundle(data)
	}
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	if m.Forward {
		e.forwarder.add(m, data)
	}
	e.OnMessage(m)
	return nil
}

// handleBundle handles the messages of a bundle that are new. They are not forwarded again.
func (e *Messenger) handleBundle(data []byte) error {
	b, err := decodeBundle(data)
	if err != nil {
		return err
	}
	var invalid error
	for _, f := range b {
		if e.Has(f.Node, f.Incarnation, f.Sequence) {
			continue
		}
		m, err := decodeMessage(f.Data)
		if err != nil {
			invalid = errors.CombineErrors(invalid, err)
			continue
		}
		e.OnMessage(m)
	}
	return invalid
}
