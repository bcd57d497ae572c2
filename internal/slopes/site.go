package slopes

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// domains and regions are the numbers of failure domains and regions of the large site.
	domains = 19
	regions = 5
	// joinTimeout limits the time until all members know each other.
	joinTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var errNotJoined = errors.New("the members did not get to know each other in time")

// memberN returns the nth member of a site. Its process starts at start.
func memberN(n int, start time.Time, address string) membership.Member {
	node := ident.Node(fmt.Sprintf("node-%03d", n))
	domain := n % domains
	return membership.Member{
		Incarnation:   ident.NewIncarnation(node, start),
		Node:          node,
		Region:        ident.Region(fmt.Sprintf("region-%d", domain%regions)),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
		CallerURL:     "http://10.20.30.40:7001",
		PeerAddress:   address,
	}
}

// site is a membership cluster whose members all run in this process.
type site struct {
	clusters []*membership.Cluster
	cancel   context.CancelFunc
}

// newSite starts count members and waits until all of them know each other.
func newSite(count int) (*site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{cancel: cancel}
	var seeds []string
	for n := range count {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0") //nolint:noctx // does not block
		if err != nil {
			s.stop()
			return nil, err
		}
		self := memberN(n, time.Now(), conn.LocalAddr().String())
		if len(seeds) < 3 {
			seeds = append(seeds, self.PeerAddress)
		}
		c := membership.New(membership.Options{
			Self: self, Seeds: seeds, Conn: conn, Token: "slopes",
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		c.Start(ctx)
		s.clusters = append(s.clusters, c)
	}
	if !s.waitFor(joinTimeout, s.joined) {
		s.stop()
		return nil, errNotJoined
	}
	return s, nil
}

// stop stops all members.
func (s *site) stop() {
	s.cancel()
	for _, c := range s.clusters {
		c.Stop()
	}
}

// joined reports whether every member sees all members as usable.
func (s *site) joined() bool {
	for _, c := range s.clusters {
		usable := 0
		for _, m := range c.Members() {
			if m.State.Usable() {
				usable++
			}
		}
		if usable != len(s.clusters) {
			return false
		}
	}
	return true
}

// waitFor polls condition and reports whether it became true within limit.
func (s *site) waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// totalStats returns the sums of the members' counters.
func (s *site) totalStats() membership.Stats {
	var sum membership.Stats
	for _, c := range s.clusters {
		one := c.Stats()
		sum.SentBytes += one.SentBytes
		sum.ReceivedBytes += one.ReceivedBytes
		sum.SentDatagrams += one.SentDatagrams
		sum.ReceivedDatagrams += one.ReceivedDatagrams
		sum.Suspicions += one.Suspicions
		sum.Deaths += one.Deaths
		sum.Pauses += one.Pauses
	}
	return sum
}

// wireBytes returns the size of datagrams including their UDP and IP headers.
func wireBytes(payload, datagrams uint64) float64 {
	return float64(payload + headerBytesUDP*datagrams)
}
