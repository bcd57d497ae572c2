package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/peer"
)

// measuredCaller makes calls and keeps what they cost.
type measuredCaller struct {
	server  *peerServer
	client  *peer.Client
	address string
	bytes   []Figure
	err     error
}

func (c *measuredCaller) measure(name, method string, call func(n int) (args, reply any)) Figure {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := c.server.listener.bytes.Load()
	spent := cost(peerCallCount, func(n int) {
		args, reply := call(n)
		if err := c.client.Call(ctx, c.address, method, args, reply); err != nil && c.err == nil {
			c.err = errors.Wrapf(err, "%s %d", method, n)
		}
	})
	how := fmt.Sprintf("%d calls one after another, both ends", peerCallCount)
	moved := float64(c.server.listener.bytes.Load()-before) / peerCallCount
	c.bytes = append(c.bytes, Figure{Name: "peer." + name + "_bytes", Value: moved, Unit: unitBytes, How: how + ", both directions, without TCP headers"})
	return Figure{Name: "peer." + name + "_call", Value: spent, Unit: unitMicroseconds, How: how}
}
