package node

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/settings"
)

// ingressLimits bound what the clients of all listeners make the process hold.
type ingressLimits struct {
	// bodies is the memory of request bodies.
	bodies *ingress.Account
	// callers, operators and peers are the connections of the listeners.
	callers, operators, peers *ingress.ConnTable
	// buffers are the receive buffers of connections beyond their first one, and of those to plain services.
	buffers *ingress.ReceiveBuffers
	// answers and relayedAnswers are the memory of long answers, of requests held here and at other nodes.
	answers, relayedAnswers *ingress.AnswerMemory
}

func newIngressLimits(limits *settings.Limits) *ingressLimits {
	descriptors := maxDescriptors()
	buffers := ingress.NewReceiveBuffers(limits.MemoryMB)
	external := ingress.ClientConnLimits(descriptors, limits.MemoryMB)
	internal := ingress.InternalConnLimits(descriptors, limits.MemoryMB)
	callers := ingress.NewConnTable(external, buffers, time.Now)
	return &ingressLimits{
		bodies:    ingress.NewAccount(share(limits, bodyPercent), time.Now),
		callers:   callers,
		buffers:   buffers,
		operators: ingress.NewConnTable(internal, buffers, time.Now),

		answers:        ingress.NewAnswerMemory(limits.MemoryMB, callers.EvictStalledAnswer),
		relayedAnswers: ingress.NewAnswerMemory(limits.MemoryMB, callers.EvictStalledAnswer),

		peers: ingress.NewConnTable(ingress.ConnLimits{Conns: external.Conns, HeadBytes: internal.HeadBytes}, ingress.NewReceiveBuffers(limits.MemoryMB), time.Now),
	}
}

// The parts of the memory limit, in percent, that what a node holds for others may take.
const (
	// bodyPercent is for the inputs of requests in progress, from their arrival on.
	bodyPercent = 16
	// keptPercent is for the answers of finished requests at their home, and again at their witness.
	keptPercent = 6
	// witnessInputPercent is for the inputs of requests in progress at their witness.
	witnessInputPercent = 9
	// framePercent is for long messages of other nodes while they arrive.
	framePercent = 9
)

// share returns a part of the memory limit, in bytes. Settings that weren't loaded from a file may have none.
func share(limits *settings.Limits, percent int64) int64 {
	memoryMB := cmp.Or(limits.MemoryMB, settings.DefaultMemoryMB)
	return int64(memoryMB) << 20 * percent / 100
}

// maxDescriptors returns the process's limit of descriptors; 0 if there is none or it is not known.
func maxDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur) //nolint:gosec // at most the largest int32
}

// registerIngressGauges exposes what clients make the process hold.
func (n *Node) registerIngressGauges() {
	n.registerGauge("ingress.body_bytes_held", "Memory of request bodies, in bytes.", func() int64 { return n.ingress.bodies.Usage().Held })
	n.registerGauge("ingress.bodies_without_memory", "Bodies that were refused for lack of memory.", func() int64 { return n.ingress.bodies.Usage().Full })
	n.registerGauge("ingress.bodies_evicted", "Bodies that gave way to others.", func() int64 { return n.ingress.bodies.Usage().Evicted })
	n.registerGauge("ingress.witness_input_bytes", "Inputs of requests in progress that this node is the witness of, in bytes.", n.witness.InputBytes)
	n.registerGauge("ingress.caller_connections", "Open connections of callers.", func() int64 { return int64(n.ingress.callers.Usage().Conns) })
	n.registerGauge("ingress.caller_connections_refused", "Connections of callers that were closed at once.", func() int64 { return n.ingress.callers.Usage().Refused })
	n.registerGauge("ingress.caller_connections_evicted", "Connections of callers that gave way to others.", func() int64 { return n.ingress.callers.Usage().Evicted })
}
