package faulttest

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of the harness, below those that
	// the system gives to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// portBlock is how many ports one test process has to itself.
	portBlock = 2000
	// portTries is how often a port is chosen anew when a process of another
	// program has taken it in between.
	portTries = 5
)

// nextPort counts the ports that were given out.
var nextPort atomic.Int64

// portGuard holds the first port of this process's block for as long as it runs.
var portGuard net.Listener

// firstOfBlock returns the first port of a block that no other test process has.
var firstOfBlock = sync.OnceValue(func() int64 {
	for first := int64(firstPort); first < lastPort; first += portBlock {
		listener, err := net.Listen("tcp", loopback(first))
		if err == nil {
			portGuard = listener
			return first
		}
	}
	return 0
})

func loopback(port int64) string {
	return net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
}

// freeAddress returns an address on loopback whose port is free for TCP and
// UDP, and was not returned lately.
func freeAddress() (string, error) {
	first := firstOfBlock()
	if first == 0 {
		return "", errors.New("every block of ports is taken")
	}
	for range portBlock {
		address := loopback(first + 1 + nextPort.Add(1)%(portBlock-1))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no port is free")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
