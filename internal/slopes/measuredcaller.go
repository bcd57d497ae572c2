package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/peer"
)

// measuredCaller makes peer calls one after another and measures their costs. It keeps the
// figures of bytes in byteFigures and the first error in err.
type measuredCaller struct {
	server      *peerServer
	client      *peer.Client
	address     string
	byteFigures []Figure
	err         error
}

// measure makes peerCallCount calls of method. It returns the figure of processor time and
// adds that of bytes to byteFigures.
func (c *measuredCaller) measure(name, method string, call func(n int) (args, reply any)) Figure {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := c.server.listener.bytes.Load()
	spent := processorTimePerCall(peerCallCount, func(n int) {
		args, reply := call(n)
		if err := c.client.Call(ctx, c.address, method, args, reply); err != nil && c.err == nil {
			c.err = errors.Wrapf(err, "%s %d", method, n)
		}
	})
	how := fmt.Sprintf("%d calls one after another, both ends", peerCallCount)
	bytesPerCall := float64(c.server.listener.bytes.Load()-before) / peerCallCount
	c.byteFigures = append(c.byteFigures, Figure{Name: "peer." + name + "_bytes", Value: bytesPerCall, Unit: unitBytes, How: how + ", both directions, without TCP headers"})
	return Figure{Name: "peer." + name + "_call", Value: spent, Unit: unitMicroseconds, How: how}
}
