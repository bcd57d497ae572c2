package server

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
)

const (
	modelStep       = 10 * time.Millisecond
	modelFirstEvent = 200 * time.Millisecond
	modelRunTime    = time.Second
	modelLongRun    = 6 * time.Second // of requests of the second kind
	modelRestart    = 3 * time.Second
	// contactTime is how long after the fifth crash the nodes must have stopped sending a part,
	// and maxLateSends how many requests with it may still be sent then.
	contactTime  = 3 * time.Second
	maxLateSends = 3
)

// taintedPart is a part that crashes upstreams in a partModel.
type taintedPart struct {
	id string
	// depth is the number of parts before it.
	depth int
	// share is the share of requests that hold it, from a time on.
	share float64
	from  time.Duration
	// crashes are the times of the crashes, lateSends the sends after the time allowed.
	crashes   []time.Duration
	lateSends int
}

// modelRequest is a request that runs at an upstream in a partModel.
type modelRequest struct {
	content poison.Content
	kind    int
	tainted *taintedPart
	sentAt  time.Duration
	node    int
	// survived is true once the node was told that the upstream survived the beginning.
	survived bool
}

// runTime returns how long the request runs after its first event.
func (r *modelRequest) runTime() time.Duration {
	if r.kind == 1 {
		return modelLongRun
	}
	return modelRunTime
}

// partModel plays requests with tainted parts at nodes and upstreams, with a clock of its own.
type partModel struct {
	random    *rand.Rand
	start     time.Time
	now       time.Duration
	nodes     []*contentGuard
	upstreams []site.Upstream
	downUntil []time.Duration
	running   [][]*modelRequest
	tainted   []*taintedPart
	perSecond float64
	// confirmed holds the crashes that the nodes notice at a time, by upstream.
	confirmed map[time.Duration][]site.Upstream
	// messages holds the evidence that arrives at all nodes at a time.
	messages map[time.Duration][][]poison.Suspect
	// massCrashes holds the times at which a third of the upstreams crash for another reason.
	massCrashes map[time.Duration]bool
	// restarts holds the times at which all nodes end and start again from a checkpoint.
	restarts map[time.Duration]bool
	// sent and refused count sound requests, by kind.
	sent, refused [2]int
}

func newPartModel(seed uint64, nodes, upstreams int, perSecond float64, tainted ...*taintedPart) *partModel {
	m := &partModel{
		random: rand.New(rand.NewPCG(seed, 31)), start: time.Unix(1_000_000, 0), tainted: tainted, perSecond: perSecond,
		downUntil: make([]time.Duration, upstreams), running: make([][]*modelRequest, upstreams),
		confirmed: make(map[time.Duration][]site.Upstream), messages: make(map[time.Duration][][]poison.Suspect),
		massCrashes: make(map[time.Duration]bool), restarts: make(map[time.Duration]bool),
	}
	for range nodes {
		m.nodes = append(m.nodes, m.newNode())
	}
	for i := range upstreams {
		m.upstreams = append(m.upstreams, site.Upstream{ID: fmt.Sprint("u", i), StartedAt: m.start})
	}
	return m
}

func (m *partModel) newNode() *contentGuard {
	return newContentGuard(func() time.Time { return m.start.Add(m.now) }, m.random, slog.New(slog.DiscardHandler))
}

// run plays the model for d.
func (m *partModel) run(d time.Duration) {
	interval := peers.PropagationInterval(len(m.nodes))
	for ; m.now < d; m.now += modelStep {
		if m.restarts[m.now] {
			m.restartNodes()
		}
		for range m.arrivals() {
			m.send(m.newRequest())
		}
		m.step()
		if m.massCrashes[m.now] {
			for i := range m.upstreams {
				if i%3 == 0 {
					m.crash(i, nil)
				}
			}
		}
		m.confirm()
		m.exchange(interval)
	}
}

// arrivals returns a number of requests for one step.
func (m *partModel) arrivals() int {
	mean := m.perSecond * modelStep.Seconds()
	n := int(mean)
	if m.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// newRequest returns a request of one of two kinds, about one of some subjects. A tainted part
// always stands with the same subject.
func (m *partModel) newRequest() *modelRequest {
	kind := m.random.IntN(2)
	subject := int(m.random.Float64() * m.random.Float64() * 250)
	r := &modelRequest{kind: kind, sentAt: m.now, node: m.random.IntN(len(m.nodes))}
	for _, t := range m.tainted {
		if m.now >= t.from && m.random.Float64() < t.share {
			r.tainted, subject = t, len(t.id)
		}
	}
	parts := []poison.Fingerprint{poison.PartFingerprint(fmt.Sprint("kind", kind)), poison.PartFingerprint(fmt.Sprint("subject", kind, "/", subject))}
	if t := r.tainted; t != nil {
		parts = append(parts[:t.depth:t.depth], append([]poison.Fingerprint{poison.PartFingerprint(t.id)}, parts[t.depth:]...)...)
	}
	r.content = poison.Content{Whole: poison.Fingerprint(m.random.Uint64()), Parts: parts}
	return r
}

// send sends a request to an upstream, unless its node refuses it.
func (m *partModel) send(r *modelRequest) {
	_, refused := m.nodes[r.node].CrashingPart(r.content)
	if r.tainted == nil {
		m.sent[r.kind]++
		if refused {
			m.refused[r.kind]++
		}
	}
	up := m.random.IntN(len(m.upstreams))
	if refused || m.downUntil[up] > m.now {
		return
	}
	if t := r.tainted; t != nil && len(t.crashes) >= 5 && m.now > t.crashes[4]+contactTime {
		t.lateSends++
	}
	m.running[up] = append(m.running[up], r)
}

// step crashes upstreams that begin to answer a tainted request, and ends the requests that are
// done.
func (m *partModel) step() {
	for up := range m.running {
		var left []*modelRequest
		for _, r := range m.running[up] {
			switch after := m.now - r.sentAt; {
			case r.tainted != nil && after >= modelFirstEvent:
				m.crash(up, r.tainted)
				left = nil
			case after >= modelFirstEvent+r.runTime():
				m.nodes[r.node].Succeeded(r.content, m.start.Add(r.sentAt))
				continue
			default:
				if !r.survived && after > modelFirstEvent+time.Second {
					r.survived = true
					m.nodes[r.node].Survived(r.content, m.start.Add(r.sentAt))
				}
				left = append(left, r)
				continue
			}
			break
		}
		m.running[up] = left
		if m.downUntil[up] > m.now {
			m.running[up] = nil
		}
	}
}

// crash ends an upstream; its nodes lose the responses at once.
func (m *partModel) crash(up int, by *taintedPart) {
	if by != nil {
		by.crashes = append(by.crashes, m.now)
	}
	for _, r := range m.running[up] {
		content := r.content
		if m.now-r.sentAt > modelFirstEvent+time.Second {
			content.Parts = nil
		}
		m.nodes[r.node].ResponseLost(content, m.upstreams[up])
	}
	m.running[up] = nil
	m.downUntil[up] = m.now + modelRestart
	at := m.now + probePauses[0]
	m.confirmed[at] = append(m.confirmed[at], m.upstreams[up])
	m.upstreams[up].StartedAt = m.start.Add(m.now + modelRestart)
}

// confirm lets the nodes notice crashes.
func (m *partModel) confirm() {
	for _, u := range m.confirmed[m.now] {
		for _, n := range m.nodes {
			n.Unreachable(u)
		}
	}
	delete(m.confirmed, m.now)
}

// exchange lets each node send its evidence once in an interval; it arrives an interval later.
func (m *partModel) exchange(interval time.Duration) {
	for i, n := range m.nodes {
		offset := (time.Duration(i) * interval / time.Duration(len(m.nodes))).Truncate(modelStep)
		if (m.now-offset)%interval.Truncate(modelStep) == 0 {
			at := m.now + interval.Truncate(modelStep)
			m.messages[at] = append(m.messages[at], n.partsToShare())
		}
	}
	for _, entries := range m.messages[m.now] {
		for _, n := range m.nodes {
			n.mergeParts(entries)
		}
	}
	delete(m.messages, m.now)
}

// restartNodes replaces all nodes by new ones that know what the checkpoint of the first holds.
func (m *partModel) restartNodes() {
	checkpoint := m.nodes[0].partsToCheckpoint()
	clear(m.messages)
	for i := range m.nodes {
		m.nodes[i] = m.newNode()
		m.nodes[i].mergeParts(checkpoint)
	}
}

// check requires that tainted parts are no longer sent in time, and that sound requests of each
// kind are served.
func (m *partModel) check(t *testing.T) {
	t.Helper()
	for _, p := range m.tainted {
		require.LessOrEqual(t, p.lateSends, maxLateSends, "part %s, crashes at %v", p.id, p.crashes)
	}
	for kind, sent := range m.sent {
		require.Less(t, float64(m.refused[kind]), 0.02*float64(sent), "kind %d", kind)
	}
}

func TestSeveralCrashingPartsAreRefusedAndSoundRequestsServed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newPartModel(
				seed, 7, 18, 100,
				&taintedPart{id: "frequent", depth: 2, share: 0.1, from: 2 * time.Second},
				&taintedPart{id: "rare", depth: 2, share: 0.003, from: time.Second},
				&taintedPart{id: "middle", depth: 1, share: 0.02, from: 4 * time.Second},
				&taintedPart{id: "first", depth: 0, share: 0.02, from: 8 * time.Second},
			)
			m.massCrashes[3*time.Second], m.massCrashes[9*time.Second] = true, true
			m.massCrashes[10500*time.Millisecond], m.massCrashes[12*time.Second] = true, true
			m.run(40 * time.Second)
			m.check(t)
		})
	}
}

func TestCrashingPartsAreRefusedWhenAllNodesStartAgain(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newPartModel(
				seed, 7, 18, 100,
				&taintedPart{id: "frequent", depth: 2, share: 0.05, from: 2 * time.Second},
				&taintedPart{id: "middle", depth: 1, share: 0.005, from: 2 * time.Second},
			)
			m.restarts[6*time.Second], m.restarts[12*time.Second] = true, true
			m.massCrashes[6100*time.Millisecond], m.massCrashes[12200*time.Millisecond] = true, true
			m.run(30 * time.Second)
			m.check(t)
		})
	}
}

func TestCrashingPartsAreRefusedByHundredsOfNodes(t *testing.T) {
	m := newPartModel(
		1, 195, 400, 2000,
		&taintedPart{id: "frequent", depth: 2, share: 0.02, from: 2 * time.Second},
		&taintedPart{id: "rare", depth: 2, share: 0.001, from: 2 * time.Second},
		&taintedPart{id: "middle", depth: 1, share: 0.005, from: 2 * time.Second},
	)
	m.run(10 * time.Second)
	m.check(t)
}

// Several rare parts crash upstreams before any of them is recognized, while requests that share the
// part before them run for long.
func TestPartOfLongStreamsIsServedBesideSeveralRareCrashingParts(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var tainted []*taintedPart
			for i := range 12 {
				tainted = append(tainted, &taintedPart{id: fmt.Sprint("rare", i), depth: 2, share: 0.004, from: 8 * time.Second})
			}
			m := newPartModel(seed, 7, 18, 100, tainted...)
			m.run(40 * time.Second)
			m.check(t)
		})
	}
}
