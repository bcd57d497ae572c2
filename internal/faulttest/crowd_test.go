package faulttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crowdQuietTime is how long a crowd must have sent nothing to count as settled.
const crowdQuietTime = time.Second

// crowdClient is one client that doesn't behave.
type crowdClient struct {
	number int
	conn   net.Conn
	sent   *atomic.Int64
}

// write sends data and reports whether the node took it all.
func (c *crowdClient) write(data []byte) bool {
	n, err := c.conn.Write(data)
	c.sent.Add(int64(n))
	return err == nil
}

// sendChunks sends total bytes in chunks of size, without the last chunk.
func (c *crowdClient) sendChunks(total, size int) bool {
	one := append(fmt.Appendf(nil, "%x\r\n", size), append(bytes.Repeat([]byte("x"), size), "\r\n"...)...)
	batch := bytes.Repeat(one, max(1, (16<<10)/len(one)))
	perBatch := size * (len(batch) / len(one))
	for sent := 0; sent < total; sent += perBatch {
		if !c.write(batch) {
			return false
		}
	}
	return true
}

// skipResponse reads a response to its end, and reports whether the connection can be used again.
func skipResponse(reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Body.Close() == nil && err == nil && !response.Close
}

// releaseCrowd lets clients connect by dial and calls send for each. It returns once none of them sends any
// more. Their connections stay open until the test ends.
func releaseCrowd(t *testing.T, clients int, dial func(int) (net.Conn, error), send func(*crowdClient)) {
	t.Helper()
	var sent atomic.Int64
	var sending sync.WaitGroup
	t.Cleanup(sending.Wait) // runs once the connections are closed
	for i := range clients {
		conn, err := dial(i)
		if err != nil {
			continue // a node may refuse connections of a crowd
		}
		t.Cleanup(func() { _ = conn.Close() })
		sending.Go(func() { send(&crowdClient{number: i, conn: conn, sent: &sent}) })
	}
	waitUntilQuiet(&sent)
	t.Logf("the crowd sent %d KB", sent.Load()>>10)
}

// waitUntilQuiet waits until a counter has not changed for crowdQuietTime.
func waitUntilQuiet(counter *atomic.Int64) {
	for last := int64(-1); last != counter.Load(); time.Sleep(crowdQuietTime) {
		last = counter.Load()
	}
}
