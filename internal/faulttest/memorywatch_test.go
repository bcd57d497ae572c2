package faulttest

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memorySampleInterval is the time between two samples of a memoryWatch.
const memorySampleInterval = 20 * time.Millisecond

// memoryWatch samples what a process holds: its resident memory, and the bytes that the kernel has
// received for it and it has not read. The platform counts both toward a process's memory limit.
type memoryWatch struct {
	process *process
	// addresses are the listeners of the process, "host:port". Connections to them that the process
	// has not accepted yet count too.
	addresses map[string]bool

	stop chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// resident and unread, in bytes, are those of the sample with the largest sum.
	resident, unread int64
	// sockets is the largest number of open sockets.
	sockets int
	// samples is the number of samples of the living process, and err why one of them was not whole.
	samples int
	err     error
}

// watchMemory samples a process that listens on addresses until the test ends.
func watchMemory(t *testing.T, p *process, addresses ...string) *memoryWatch {
	t.Helper()
	w := &memoryWatch{process: p, addresses: make(map[string]bool), stop: make(chan struct{})}
	for _, address := range addresses {
		w.addresses[address] = true
	}
	w.done.Go(w.run)
	t.Cleanup(w.end)
	return w
}

// end stops the sampling. It may be called more than once.
func (w *memoryWatch) end() {
	w.mu.Lock()
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.mu.Unlock()
	w.done.Wait()
}

func (w *memoryWatch) run() {
	ticker := time.NewTicker(memorySampleInterval)
	defer ticker.Stop()
	for {
		w.sample()
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// sample records what the process holds now. A process that has ended holds nothing.
func (w *memoryWatch) sample() {
	inodes := socketInodes(w.process)
	resident := statusBytes(w.process, "VmRSS:")
	unread, err := w.unreadBytes(inodes)
	w.mu.Lock()
	defer w.mu.Unlock()
	if resident > 0 {
		w.samples++
	}
	if err != nil {
		w.err = err
	}
	if resident+unread > w.resident+w.unread {
		w.resident, w.unread = resident, unread
	}
	w.sockets = max(w.sockets, len(inodes))
}

// requireWithin requires that the process lives and never held more than memoryMB and sockets, and logs
// what it held.
func (w *memoryWatch) requireWithin(t *testing.T, memoryMB, sockets int) {
	t.Helper()
	w.mu.Lock()
	resident, unread, most, samples, err := w.resident, w.unread, w.sockets, w.samples, w.err
	w.mu.Unlock()
	require.NoError(t, err)
	require.Positive(t, samples, "the process was not watched")
	require.Positive(t, most, "no socket of the process was seen")
	peak := statusBytes(w.process, "VmHWM:")
	t.Logf("peak, KB: resident %d and unread %d in one sample, resident alone %d; sockets: %d", resident>>10, unread>>10, peak>>10, most)
	require.False(t, w.process.hasEnded(), "the process ended")
	limit := int64(memoryMB) << 20
	require.LessOrEqual(t, peak, limit, "resident memory over the limit")
	require.LessOrEqual(t, resident+unread, limit, "resident memory and unread bytes over the limit")
	require.LessOrEqual(t, most, sockets, "too many sockets")
}

// tcpListen is the state of a listening socket in /proc/net/tcp; its queue counts connections, not bytes.
const tcpListen = "0A"

// unreadBytes returns the bytes in the receive queues of the process's sockets and of the connections to
// its listeners.
func (w *memoryWatch) unreadBytes(inodes map[string]bool) (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	var sum int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line) // sl local remote state tx:rx timer retransmits uid timeout inode
		if len(fields) < 10 || fields[3] == tcpListen || !inodes[fields[9]] && !w.addresses[decodeAddress(fields[1])] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// decodeAddress returns the address of a field of /proc/net/tcp: the bytes of the IP address in reverse
// order and the port, in hexadecimal digits.
func decodeAddress(field string) string {
	var ip uint32
	var port int
	if _, err := fmt.Sscanf(field, "%X:%X", &ip, &port); err != nil {
		return ""
	}
	return net.JoinHostPort(net.IPv4(byte(ip), byte(ip>>8), byte(ip>>16), byte(ip>>24)).String(), strconv.Itoa(port))
}

// socketInodes returns the inodes of a process's open sockets; none if it has ended.
func socketInodes(p *process) map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", p.pid())
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	out := make(map[string]bool)
	for _, e := range entries {
		target, err := os.Readlink(dir + "/" + e.Name())
		if err != nil {
			continue
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}

// statusBytes returns a value of a process's status file, in bytes; 0 if the process has ended.
func statusBytes(p *process, name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, name); found {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
