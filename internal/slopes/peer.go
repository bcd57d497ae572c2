package slopes

import (
	"time"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
)

const (
	// peerCallCount is how many calls of each method are measured.
	peerCallCount = 4000
	// batchReports is how many progress reports a batch has.
	batchReports = 2
	// linkCount is how many idle connections are measured, linkSeconds for how long.
	linkCount   = 200
	linkSeconds = 10
	callTimeout = 5 * time.Second
)

// measurePeerCalls measures the calls that a request makes to its witness, to the owner of
// its upstream and to the gate of its content, with both ends in this process. It also
// measures connections that carry only heartbeats.
func measurePeerCalls() ([]Figure, error) {
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
	figures := measureWitnessCalls(caller, home, specs)
	figures = append(figures, measureOwnerCalls(caller, home, specs)...)
	figures = append(figures, measureGateCalls(caller, home, specs)...)
	figures = append(figures, caller.byteFigures...)
	idle, err := measureIdleLinks()
	return append(figures, idle...), firstError(caller.err, err)
}

// firstError returns the first of failures that is not nil.
func firstError(failures ...error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
