package slopes

import (
	"context"
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/peer"
)

// measureIdleLinks measures connections that carry only heartbeats.
func measureIdleLinks() ([]Figure, error) {
	p, err := newPeerServer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	addresses, err := p.listenMore(linkCount)
	if err != nil {
		return nil, err
	}
	client := peer.NewClient(peer.Dialer{Token: "slopes"})
	defer client.Close()
	before := readUsage(true)
	for _, address := range addresses {
		ping := client.Call(ctx, address, "Heartbeat.Ping", &peer.Ping{}, &peer.Pong{})
		err = firstError(err, ping)
	}
	open := readUsage(true)
	bytesBefore := p.listener.bytes.Load()
	time.Sleep(linkSeconds * time.Second)
	after := readUsage(false)
	how := fmt.Sprintf("%d connections for %d s, both ends", linkCount, linkSeconds)
	linkTime := after.wall.Sub(open.wall).Seconds() * linkCount
	return []Figure{
		{Name: "peer.link_memory", Value: memoryGrowth(open, before) / linkCount, Unit: unitBytes, How: how},
		{Name: "peer.link_bytes", Value: float64(p.listener.bytes.Load()-bytesBefore) / linkTime, Unit: unitBytesPerSecond, How: how + ", without TCP headers"},
		{Name: "peer.link_cpu", Value: (after.processor - open.processor).Seconds() / linkTime * percent, Unit: unitPercentOfCore, How: how},
	}, err
}
