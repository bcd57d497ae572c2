// Package guard keeps contents that crash upstreams from crashing more of them:
// before a request runs, its content passes a gate at one coordinating node.
//
// Invariants: crashes are counted by content, whatever the ID, the workspace or
// the node; what one node counts reaches all others by gossip; an upstream that
// is known to be leaving convicts nobody.
package guard

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// gateTimeout bounds one call to a coordinator.
	gateTimeout = 200 * time.Millisecond
	// waitAtGate is when to ask again a gate at which other runs of the content go on.
	waitAtGate = 50 * time.Millisecond
	// absolveFor is how long before a late reclaim notice a crash is forgiven.
	absolveFor = 10 * time.Second
)

// Gossip spreads small facts to all nodes; membership.Cluster does.
type Gossip interface {
	Publish(topic membership.Topic, key string, version uint64, payload []byte) error
	Subscribe(topic membership.Topic, f func(membership.Rumour))
}

// Guard is a node's part in it.
type Guard struct {
	members  membership.View
	gossip   Gossip
	registry *poison.Registry
	gate     *poison.Gate
	client   *poison.Client
	logger   *slog.Logger
	serial   atomic.Uint64
}

var _ dispatch.Guard = (*Guard)(nil)

// New returns a guard that has seen no crash.
func New(members membership.View, gossip Gossip, calls peer.Caller, logger *slog.Logger) *Guard {
	registry := poison.NewRegistry()
	g := &Guard{
		members:  members,
		gossip:   gossip,
		registry: registry,
		gate:     poison.NewGate(registry),
		client:   poison.NewClient(calls),
		logger:   logger,
	}
	gossip.Subscribe(membership.TopicPoison, g.heard)
	return g
}

// Registry returns the crashes that are known, for operators.
func (g *Guard) Registry() *poison.Registry {
	return g.registry
}

// Service answers other nodes at the gates of this one.
func (g *Guard) Service() *poison.Service {
	return poison.NewService(g.gate, time.Now)
}

// Check refuses a content that is known to crash upstreams.
func (g *Guard) Check(spec *request.Spec) error {
	if refusal := g.registry.Check(fingerprint(spec)); refusal != nil {
		return refusal
	}
	return nil
}

// Suspect reports whether upstreams have crashed under the content. Two suspects
// never share an upstream.
func (g *Guard) Suspect(spec *request.Spec) bool {
	return g.registry.Suspect(fingerprint(spec))
}

// Enter asks the content's gate to let it run. A refusal with RetryAfter may be asked again.
func (g *Guard) Enter(ctx context.Context, spec *request.Spec) (dispatch.Pass, error) {
	args := &poison.AcquireArgs{
		Fingerprint: fingerprint(spec),
		ID:          poison.PassID{Holder: g.members.Self().Incarnation.Hash(), Serial: g.serial.Add(1)},
		Hold:        time.Until(spec.Deadline),
	}
	address, local := g.coordinator(args.Fingerprint)
	var reply poison.AcquireReply
	var err error
	if !local {
		limited, cancel := context.WithTimeout(ctx, gateTimeout)
		defer cancel()
		reply, err = g.client.Acquire(limited, address, args)
	}
	if local || err != nil {
		local = true
		reply.Answer = g.gate.Acquire(time.Now(), args.Fingerprint, args.ID, args.Hold)
	}
	switch reply.Answer.Kind {
	case poison.AnswerPass:
		p := &pass{guard: g, fingerprint: args.Fingerprint, id: args.ID, address: address, local: local}
		if reply.Answer.Crashes > 0 && !g.registry.Suspect(args.Fingerprint) {
			// Its place was chosen as if it were no suspect; gossip will tell soon.
			p.Leave("", dispatch.EndingOther)
			return nil, waitAtTheGate()
		}
		return p, nil
	case poison.AnswerWait:
		return nil, waitAtTheGate()
	case poison.AnswerRefuse:
	}
	if reply.Answer.Refusal != nil {
		return nil, reply.Answer.Refusal
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodePoison, "this content crashes upstreams")
}

func waitAtTheGate() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodePoison, "other runs of this content, which has crashed upstreams, must end first").After(waitAtGate)
}

// Reclaimed forgives crashes of an upstream that turned out to have been reclaimed.
func (g *Guard) Reclaimed(upstream ident.Upstream) {
	now := time.Now()
	g.registry.Absolve(upstream, now.Add(-absolveFor), now)
}

// Clear forgives a content, on every node. It is false when the content is unknown.
func (g *Guard) Clear(f poison.Fingerprint) bool {
	known := g.registry.Clear(time.Now(), f)
	g.publish(f)
	return known
}

// coordinator returns where the gate of f is, and whether that is here.
func (g *Guard) coordinator(f poison.Fingerprint) (address string, local bool) {
	self := g.members.Self()
	member, ok := poison.Coordinator(f, self.Region, g.members.Members())
	if !ok || member.Incarnation == self.Incarnation {
		return "", true
	}
	return member.PeerAddress, false
}

// heard takes in what another node has counted.
func (g *Guard) heard(rumour membership.Rumour) {
	var entry poison.Entry
	if err := json.Unmarshal(rumour.Payload, &entry); err != nil {
		g.logger.Warn("a rumour about crashes can't be read", "error", err)
		return
	}
	g.registry.Merge([]poison.Entry{entry})
}

// publish spreads what is known of a content.
func (g *Guard) publish(f poison.Fingerprint) {
	for _, entry := range g.registry.Snapshot() {
		if entry.Fingerprint != f {
			continue
		}
		payload, err := json.Marshal(entry)
		if err != nil {
			return
		}
		key := strconv.FormatUint(uint64(f), 16) + "@" + string(g.members.Self().Node)
		if err := g.gossip.Publish(membership.TopicPoison, key, uint64(time.Now().UnixNano()), payload); err != nil { //nolint:gosec // a time after 1970
			g.logger.Warn("crashes could not be told to other nodes", "error", err)
		}
	}
}

func fingerprint(spec *request.Spec) poison.Fingerprint {
	return poison.Of(spec.Model, spec.Adapter, spec.Service, spec.Input)
}
