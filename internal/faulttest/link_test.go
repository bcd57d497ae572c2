package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
)

// link is a TCP proxy in front of one listener, with a datagram relay if the listener also
// receives datagrams.
type link struct {
	name string
	// fault is the fault recorded in the history when the link is broken.
	fault   historycheck.Fault
	address string
	target  string
	relay   *relay
	// removed is true once cutForGood was called.
	removed atomic.Bool

	mu sync.Mutex
	// proxy is replaced once a call of the proxy library did not return within proxyCallTimeout.
	proxy *toxiproxy.Proxy
}

// newLink starts a proxy in front of target on a port of its own.
func newLink(t *testing.T, name, target string, datagrams bool) *link {
	t.Helper()
	l := &link{name: name, target: target, fault: historycheck.Fault{Kind: historycheck.FaultLink, Target: name}}
	var err error
	for range portAttempts {
		if err = l.listenOnFreePort(); err == nil {
			break
		}
	}
	require.NoError(t, err)
	t.Cleanup(l.stopProxy)
	if datagrams {
		l.relay = newRelay(t, l.address, target)
	}
	return l
}

// listenOnFreePort starts the proxy on a free port.
func (l *link) listenOnFreePort() error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	l.address = address
	return l.listen()
}

// listen starts a new proxy on the link's address.
func (l *link) listen() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, l.name, l.address, l.target)
	if err := proxy.Start(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxy = proxy
	return nil
}

// currentProxy returns the proxy in use.
func (l *link) currentProxy() *toxiproxy.Proxy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxy
}

// cut breaks every connection and refuses new ones until restore is called.
func (l *link) cut() {
	l.stopProxy()
	l.setDatagrams(false)
}

// cutForGood cuts the link permanently, as when its host is reclaimed; restore then has no effect.
func (l *link) cutForGood() {
	l.removed.Store(true)
	l.cut()
}

// restore ends every fault of the link; connections that were blackholed break.
func (l *link) restore() error {
	if l.removed.Load() {
		return nil
	}
	if err := l.removeToxics(); err != nil {
		if err := l.replaceProxy(); err != nil {
			return err
		}
	}
	l.setDatagrams(true)
	return l.callProxy(func(proxy *toxiproxy.Proxy) error {
		if err := proxy.Start(); err != nil && err != toxiproxy.ErrProxyAlreadyStarted { //nolint:errorlint // not wrapped
			return err
		}
		return nil
	})
}

// proxyCallTimeout is how long a call of the proxy library may take.
const proxyCallTimeout = 10 * time.Second

// errStuck is returned for a proxy whose library is in a deadlock.
var errStuck = errors.New("the proxy is stuck")

// removeToxics removes all toxics from the proxy.
func (l *link) removeToxics() error {
	return l.callProxy(func(proxy *toxiproxy.Proxy) error {
		proxy.Toxics.ResetToxics(context.Background())
		return nil
	})
}

// stopProxy stops the proxy and breaks its connections.
func (l *link) stopProxy() {
	_ = l.callProxy(func(proxy *toxiproxy.Proxy) error {
		proxy.Stop()
		return nil
	})
}

// replaceProxy gives up a proxy that is stuck, breaks its connections, and starts a new one at the
// same address.
func (l *link) replaceProxy() error {
	go l.currentProxy().Stop() // may be stuck behind the call before it, but closes the listener first
	var err error
	for end := time.Now().Add(proxyCallTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = l.listen(); err == nil {
			return nil
		}
	}
	return errors.Join(errStuck, err)
}

// callProxy runs call, which calls the proxy library, and returns errStuck if it does not return
// within proxyCallTimeout.
func (l *link) callProxy(call func(*toxiproxy.Proxy) error) error {
	done := make(chan error, 1)
	proxy := l.currentProxy()
	go func() { done <- call(proxy) }()
	select {
	case err := <-done:
		return err
	case <-time.After(proxyCallTimeout):
		return errStuck
	}
}

// toxic is a fault that toxiproxy applies to one direction of a link.
type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

// addToxic adds a toxic of a kind to both directions of the link.
func (l *link) addToxic(kind string, attributes map[string]any) error {
	for _, direction := range []string{"upstream", "downstream"} {
		data, err := json.Marshal(toxic{Name: kind + direction, Type: kind, Stream: direction, Attributes: attributes})
		if err != nil {
			return err
		}
		err = l.callProxy(func(proxy *toxiproxy.Proxy) error {
			_, err := proxy.Toxics.AddToxicJson(bytes.NewReader(data))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// blackhole drops all data and keeps connections open, until restore is called.
func (l *link) blackhole() error {
	l.setDatagrams(false)
	return l.addToxic("timeout", map[string]any{"timeout": 0})
}

// delay adds a latency of d, with a jitter of half of d, to each direction.
func (l *link) delay(d time.Duration) error {
	return l.addToxic("latency", map[string]any{"latency": d.Milliseconds(), "jitter": d.Milliseconds() / 2})
}

// limitBandwidth limits each direction to rate kilobytes per second.
func (l *link) limitBandwidth(rate int) error {
	return l.addToxic("bandwidth", map[string]any{"rate": rate})
}

// setDatagrams sets whether datagrams pass.
func (l *link) setDatagrams(pass bool) {
	if l.relay != nil {
		l.relay.drop.Store(!pass)
	}
}

// relay forwards datagrams to a target and the answers back, with one socket for each sender.
type relay struct {
	targetAddr *net.UDPAddr
	conn       *net.UDPConn
	// drop is true while datagrams are dropped.
	drop atomic.Bool

	mu sync.Mutex
	// senders holds the socket for each sender's address; nil once the relay is closed.
	senders map[string]*net.UDPConn
}

// newRelay starts a relay from address to target.
func newRelay(t *testing.T, address, target string) *relay {
	t.Helper()
	listen, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	to, err := net.ResolveUDPAddr("udp", target)
	require.NoError(t, err)
	conn, err := net.ListenUDP("udp", listen)
	require.NoError(t, err)
	r := &relay{targetAddr: to, conn: conn, senders: make(map[string]*net.UDPConn)}
	go r.relayRequests()
	t.Cleanup(r.close)
	return r
}

// maxDatagram is the length of the longest datagram that is forwarded, in bytes.
const maxDatagram = 64 << 10

// relayRequests forwards the datagrams of all senders until the relay is closed.
func (r *relay) relayRequests() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.drop.Load() {
			continue
		}
		if out := r.socketForSender(from); out != nil {
			_, _ = out.Write(buffer[:n])
		}
	}
}

// socketForSender returns the socket for a sender and opens it at the first datagram. It
// returns nil if the relay is closed or the socket cannot be opened.
func (r *relay) socketForSender(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out, ok := r.senders[from.String()]; ok {
		return out
	}
	out, err := net.DialUDP("udp", nil, r.targetAddr)
	if err != nil {
		return nil
	}
	if r.senders == nil {
		_ = out.Close()
		return nil
	}
	r.senders[from.String()] = out
	go r.relayAnswers(out, from)
	return out
}

// relayAnswers forwards the answers to one sender until the relay is closed.
func (r *relay) relayAnswers(out *net.UDPConn, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := out.Read(buffer)
		if err != nil {
			if r.closed() {
				return
			}
			time.Sleep(time.Millisecond) // the target does not listen now
			continue
		}
		if !r.drop.Load() {
			_, _ = r.conn.WriteToUDP(buffer[:n], to)
		}
	}
}

func (r *relay) closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.senders == nil
}

func (r *relay) close() {
	_ = r.conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, out := range r.senders {
		_ = out.Close()
	}
	r.senders = nil
}
