package faulttest

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports that the tests listen on. They are below the ports
	// that the operating system assigns to outgoing connections.
	firstPort = 12000
	lastPort  = 32000
	// portBlock is the number of ports reserved for one test process.
	portBlock = 2000
	// portAttempts is how many ports are tried if a process of another program takes a
	// free port before the test listens on it.
	portAttempts = 5
)

// triedPorts is the number of ports that freeAddress has tried.
var triedPorts atomic.Int64

// portGuard listens on the first port of this process's block for as long as the process
// runs, which reserves the block.
var portGuard net.Listener

// firstPortOfBlock reserves a block of ports that no other test process has and returns its
// first port, or 0 if every block is reserved.
var firstPortOfBlock = sync.OnceValue(func() int64 {
	for first := int64(firstPort); first < lastPort; first += portBlock {
		listener, err := net.Listen("tcp", loopback(first))
		if err == nil {
			portGuard = listener
			return first
		}
	}
	return 0
})

// loopback returns the address of a port on 127.0.0.1.
func loopback(port int64) string {
	return net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
}

// freeAddress returns an address on loopback whose port is free for TCP and UDP and was not
// returned recently.
func freeAddress() (string, error) {
	first := firstPortOfBlock()
	if first == 0 {
		return "", errors.New("every block of ports is reserved by another test process")
	}
	for range portBlock {
		address := loopback(first + 1 + triedPorts.Add(1)%(portBlock-1))
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no port is free")
}

// isFree reports whether the address is free for TCP and UDP.
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
