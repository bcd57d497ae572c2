package peers

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// forwardDelay is how long a relay collects messages before it forwards them together, and
	// forwardPause the time between two batches of datagrams.
	forwardDelay = 100 * time.Millisecond
	forwardPause = 10 * time.Millisecond
	// maxBundleBytes bounds the messages in one bundle; a larger datagram is more easily lost.
	maxBundleBytes = 8 << 10
)

// forwarder collects messages of other failure domains and sends them to the nodes of its own. It
// is safe for concurrent use.
type forwarder struct {
	// targets returns the addresses to forward to.
	targets func() []string
	// send sends a datagram.
	send   func(data []byte, address string)
	logger *slog.Logger

	mu sync.Mutex
	// pending holds the newest message of each node to forward next, in order of arrival.
	pending []forwarded
	wake    chan struct{}
}

func newForwarder(targets func() []string, send func([]byte, string), logger *slog.Logger) *forwarder {
	return &forwarder{targets: targets, send: send, logger: logger, wake: make(chan struct{}, 1)}
}

// add queues an encoded message. It replaces an older one of the same node, so the queue holds at
// most one message of each node.
func (f *forwarder) add(m *Message, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := forwarded{Node: m.Node, Incarnation: m.Incarnation, Sequence: m.Sequence, Data: slices.Clone(data)}
	if at := slices.IndexFunc(f.pending, func(p forwarded) bool { return p.Node == m.Node }); at >= 0 {
		f.pending[at] = next
		return
	}
	f.pending = append(f.pending, next)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the queued messages, in bundles of limited size.
func (f *forwarder) take() []bundle {
	f.mu.Lock()
	pending := f.pending
	f.pending = nil
	f.mu.Unlock()
	var out []bundle
	size := 0
	for _, m := range pending {
		if len(out) == 0 || size+len(m.Data) > maxBundleBytes {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], m)
		size += len(m.Data)
	}
	return out
}

// run forwards messages until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		wait.For(ctx, forwardDelay)
		targets := f.targets()
		for _, b := range f.take() {
			data, err := b.encode()
			if err != nil {
				f.logger.Error("could not forward peer messages", "error", err)
				continue
			}
			f.sendInBatches(ctx, data, targets)
		}
	}
}

// sendInBatches sends a datagram to all targets, a few at a time.
func (f *forwarder) sendInBatches(ctx context.Context, data []byte, targets []string) {
	for batch := range slices.Chunk(targets, batchNodes) {
		for _, address := range batch {
			f.send(data, address)
		}
		wait.For(ctx, forwardPause)
	}
}
