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
	// BaseInterval is how often a node of a small site tells the others of itself.
	BaseInterval = 200 * time.Millisecond
	// intervalPerNode stretches the interval at large sites, where every node hears all others.
	intervalPerNode = 5 * time.Millisecond
	// minInterval is the shortest time between two messages, whatever happens.
	minInterval = 30 * time.Millisecond
	// batchSize is how many nodes are told at once: a message is 1 to 2 KB, and callers'
	// tokens wait behind it on links of 10 Mbit/s.
	batchSize = 8
	// maxDatagram is the largest message that is read.
	maxDatagram = 60 << 10
)

// Interval is how often each of so many nodes tells the others of itself.
func Interval(nodes int) time.Duration {
	return max(BaseInterval, time.Duration(nodes)*intervalPerNode)
}

// Exchange sends and receives messages.
type Exchange struct {
	conn     *net.UDPConn
	registry *Registry
	// Compose makes the next message.
	Compose func(Content) *Message
	// Wants returns what a message at the usual time holds for each of the other nodes.
	Wants func() func(node string) Content
	// Received is called with each message, in one goroutine.
	Received func(*Message)
	logger   *slog.Logger
	now      chan struct{}
}

// Listen opens the address for messages.
func Listen(address string, registry *Registry, logger *slog.Logger) (*Exchange, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, err
	}
	return &Exchange{conn: conn, registry: registry, logger: logger, now: make(chan struct{}, 1)}, nil
}

// Now makes the next message go out at once.
func (e *Exchange) Now() {
	select {
	case e.now <- struct{}{}:
	default:
	}
}

// Run sends at intervals and receives until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	defer stop()
	go e.receive(ctx)
	for ctx.Err() == nil {
		e.round(ctx)
	}
}

// round tells all others once, a few at a time over one interval. When there is news
// in between, all are told of it at once and the round goes on.
func (e *Exchange) round(ctx context.Context) {
	others := e.registry.Others()
	names := slices.Sorted(maps.Keys(others))
	wants := e.Wants()
	batches := max(1, (len(names)+batchSize-1)/batchSize)
	pause := max(minInterval, Interval(len(names))/time.Duration(batches))
	for i := range batches {
		batch := names[i*batchSize : min((i+1)*batchSize, len(names))]
		e.send(others, batch, wants)
		if e.newsWithin(ctx, pause) {
			e.send(others, names, func(string) Content { return Brief })
		}
	}
}

// newsWithin waits for a time; it returns true earlier when there is news.
func (e *Exchange) newsWithin(ctx context.Context, d time.Duration) bool {
	time.Sleep(minInterval)
	timer := time.NewTimer(d - minInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.now:
		return true
	}
	return false
}

// send tells some others; a datagram that is lost is replaced by the next one.
func (e *Exchange) send(others map[string]Record, names []string, wants func(string) Content) {
	encoded := make(map[Content][]byte)
	for _, name := range names {
		address, err := netip.ParseAddrPort(others[name].Address)
		if err != nil {
			e.logger.Warn("node record without an address", "name", name, "error", err)
			continue
		}
		content := wants(name)
		if encoded[content] == nil {
			data, err := e.Compose(content).encode()
			if err != nil {
				e.logger.Error("message not encoded", "error", err)
				return
			}
			encoded[content] = data
		}
		_, _ = e.conn.WriteToUDPAddrPort(encoded[content], address) // the next message makes up for it
	}
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
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
			e.logger.Warn("message ignored", "from", from.String(), "error", err)
			continue
		}
		e.Received(m)
	}
}
