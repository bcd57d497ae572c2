package slopes

import (
	"time"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
)

const (
	// peerCallCount is how many calls are measured.
	peerCallCount = 4000
	// batchReports is how many requests a batch of progress reports on.
	batchReports = 2
	// linkSeconds is how long idle connections are measured, linkCount how many.
	linkCount   = 200
	linkSeconds = 10
	callTimeout = 5 * time.Second
)

// peerCalls measures the calls that a request makes to its witness, to the owner
// of its upstream and to the gate of its content, both ends together, and what a
// connection costs that only has heartbeats.
func peerCalls() ([]Figure, error) {
	p, err := newPeerServer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	client := peer.NewClient(peer.Dialer{Token: "slopes"})
	defer client.Close()
	address := p.listener.Addr().String()
	home := memberN(0, time.Now(), "").Incarnation
	specs := make([]*request.Spec, peerCallCount)
	for n := range specs {
		specs[n] = specN(home, p.self, n)
	}
	caller := &measuredCaller{server: p, client: client, address: address}
	figures := witnessCalls(caller, home, specs)
	figures = append(figures, ownerCalls(caller, home, specs)...)
	figures = append(figures, gateCalls(caller, home, specs)...)
	figures = append(figures, caller.bytes...)
	idle, err := idleLinks()
	return append(figures, idle...), firstError(caller.err, err)
}

func firstError(failures ...error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
