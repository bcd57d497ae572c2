package peers

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"
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

// Interval returns the interval at which a node sends its state to each other node, at a site
// of the given size.
func Interval(nodes int) time.Duration {
	return max(BaseInterval, time.Duration(nodes)*intervalPerNode)
}

// Messenger sends this node's state to the other nodes and receives theirs.
type Messenger struct {
	conn     *net.UDPConn
	registry *Registry
	// Compose returns the next message, at the given level of detail.
	Compose func(DetailLevel) *Message
	// DetailPerNode is called once per round; the function it returns selects the detail level
	// of the regular message to each node.
	DetailPerNode func() func(node string) DetailLevel
	// OnMessage is called with each message, from one goroutine.
	OnMessage func(*Message)
	logger    *slog.Logger
	sendNow   chan struct{}
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
	return &Messenger{conn: conn, registry: registry, logger: logger, sendNow: make(chan struct{}, 1)}, nil
}

// SendNow sends a message to all other nodes without waiting for the interval.
func (e *Messenger) SendNow() {
	select {
	case e.sendNow <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx ends.
func (e *Messenger) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
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
	detailFor := e.DetailPerNode()
	batches := max(1, (len(names)+batchNodes-1)/batchNodes)
	pause := max(minInterval, Interval(len(names))/time.Duration(batches))
	for i := range batches {
		batch := names[i*batchNodes : min((i+1)*batchNodes, len(names))]
		e.send(others, batch, detailFor)
		if e.waitForUrgent(ctx, pause) {
			e.send(others, names, func(string) DetailLevel { return Brief })
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

// send sends a message to each of names. Datagrams are not retransmitted: the next message
// replaces a lost one.
func (e *Messenger) send(others map[string]Record, names []string, detailFor func(string) DetailLevel) {
	encoded := make(map[DetailLevel][]byte)
	for _, name := range names {
		address, err := netip.ParseAddrPort(others[name].Address)
		if err != nil {
			e.logger.Warn("node record has no valid address", "name", name, "error", err)
			continue
		}
		detail := detailFor(name)
		if encoded[detail] == nil {
			data, err := e.Compose(detail).encode()
			if err != nil {
				e.logger.Error("could not encode peer message", "error", err)
				return
			}
			encoded[detail] = data
		}
		_, _ = e.conn.WriteToUDPAddrPort(encoded[detail], address) // the next message replaces a lost one
	}
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
		m, err := decodeMessage(buffer[:n])
		if err != nil {
			e.logger.Warn("ignoring invalid peer message", "from", from.String(), "error", err)
			continue
		}
		e.OnMessage(m)
	}
}
