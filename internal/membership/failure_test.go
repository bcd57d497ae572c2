package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
)

func TestPausedMemberDeclaredDeadStaysDead(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(7, "r1")
	paused := n.cores[3]
	others := n.selectCores(func(c *core) bool { return c != paused })
	n.suspended[paused] = true
	n.runUntil(time.Minute, func() bool { return n.allSee(others, []*core{paused}, StateDead) })
	n.run(20*time.Second, func() {})

	n.suspended[paused] = false
	n.runUntil(time.Minute, func() bool { return paused.selfDead })
	n.run(time.Minute, func() {
		require.True(t, n.allSee(others, others, StateAlive), "the resumed member must not suspect others")
		require.True(t, n.allSee(others, []*core{paused}, StateDead))
	})
}

func TestNewIncarnationReplacesOld(t *testing.T) {
	n := newNetwork(t, 2)
	n.addMany(5, "r1")
	old := n.cores[4]
	n.suspended[old] = true
	n.now = n.now.Add(time.Second)
	fresh := n.add("r1-n4", "r1", "r1-d1")
	others := n.selectCores(func(c *core) bool { return c != old && c != fresh })
	elapsed := n.runUntil(3*time.Second, func() bool {
		return n.allSee(others, []*core{fresh}, StateAlive) && n.allSee(others, []*core{old}, StateDead)
	})
	require.Less(t, elapsed, DefaultTiming().SuspicionTimeout, "the old incarnation must be replaced without waiting for its suspicion timeout")
	n.suspended[old] = false
	n.runUntil(time.Minute, func() bool { return old.selfDead })
}

func TestPartitionedRegionsReconnect(t *testing.T) {
	n := newNetwork(t, 3)
	n.addMany(6, "r1", "r2")
	n.partitioned = func(a, b *core) bool { return region(a) != region(b) }
	west := n.selectCores(func(c *core) bool { return region(c) == "r1" })
	east := n.selectCores(func(c *core) bool { return region(c) == "r2" })
	n.runUntil(time.Minute, func() bool {
		return n.allSee(west, east, StateSuspect) && n.allSee(east, west, StateSuspect)
	})
	n.publish(west[0], Rumour{Topic: TopicConfig, Key: "v", Version: 9})
	n.run(5*time.Minute, func() {
		require.True(t, n.allSee(west, west, StateAlive) && n.allSee(east, east, StateAlive))
	})
	require.True(t, n.allSee(west, east, StateSuspect), "members of the other region must not be declared dead")

	n.partitioned = func(*core, *core) bool { return false }
	n.runUntil(30*time.Second, func() bool { return n.allSee(n.cores, n.cores, StateAlive) })
	n.runUntil(30*time.Second, func() bool { return n.allHave(n.cores, Rumour{Topic: TopicConfig, Key: "v", Version: 9}) })
	for _, c := range n.cores {
		require.False(t, c.selfDead)
	}
}

func TestDeathIsSpreadAcrossRegions(t *testing.T) {
	n := newNetwork(t, 4)
	n.addMany(4, "r1", "r2")
	victim := n.cores[1]
	n.suspended[victim] = true
	others := n.selectCores(func(c *core) bool { return c != victim })
	n.runUntil(20*time.Second, func() bool { return n.allSee(others, []*core{victim}, StateDead) })
}

func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	n := newNetwork(t, 5)
	n.addMany(7, "r1")
	alone := n.cores[2]
	n.partitioned = func(a, b *core) bool { return a == alone || b == alone }
	others := n.selectCores(func(c *core) bool { return c != alone })
	n.run(3*time.Minute, func() { require.True(t, n.allSee(others, others, StateAlive)) })
	require.True(t, n.allSee(others, []*core{alone}, StateDead))

	n.partitioned = func(*core, *core) bool { return false }
	n.runUntil(30*time.Second, func() bool { return alone.selfDead })
	n.run(time.Minute, func() { require.True(t, n.allSee(others, others, StateAlive)) })
}

func TestNobodyIsDeclaredDeadAtTwentyPercentLoss(t *testing.T) {
	n := newNetwork(t, 6)
	n.addMany(20, "r1")
	n.loss = 0.2
	n.run(3*time.Minute, func() {
		for _, c := range n.cores {
			require.Zero(t, c.stats.Deaths)
		}
	})
	r := Rumour{Topic: TopicLeaving, Key: "h", Version: 1}
	n.publish(n.cores[5], r)
	n.runUntil(3*time.Second, func() bool { return n.allHave(n.cores, r) })
	victim := n.cores[7]
	n.suspended[victim] = true
	others := n.selectCores(func(c *core) bool { return c != victim })
	n.runUntil(20*time.Second, func() bool { return n.allSee(others, []*core{victim}, StateDead) })
}

func TestWholeFailureDomainDies(t *testing.T) {
	n := newNetwork(t, 7)
	n.addMany(18, "r1")
	lost := n.selectCores(func(c *core) bool { return domain(c) == "r1-d1" })
	rest := n.selectCores(func(c *core) bool { return domain(c) != "r1-d1" })
	for _, c := range lost {
		n.suspended[c] = true
	}
	n.runUntil(20*time.Second, func() bool { return n.allSee(rest, lost, StateDead) })
	require.True(t, n.allSee(rest, rest, StateAlive))
}

func TestMajorityDies(t *testing.T) {
	n := newNetwork(t, 8)
	n.addMany(7, "r1")
	lost, rest := n.cores[:4], n.cores[4:]
	for _, c := range lost {
		n.suspended[c] = true
	}
	n.runUntil(10*time.Second, func() bool { return n.allSee(rest, lost, StateSuspect) })
	n.runUntil(time.Minute, func() bool { return n.allSee(rest, lost, StateDead) })
	require.True(t, n.allSee(rest, rest, StateAlive))
}

func TestDuplicatedAndReorderedDatagramsChangeNothing(t *testing.T) {
	n := newNetwork(t, 9)
	n.addMany(10, "r1")
	n.duplicated = 0.5
	n.delay = 800 * time.Millisecond
	leaver := n.cores[6]
	others := n.selectCores(func(c *core) bool { return c != leaver })
	own := leaver.table.entries[leaver.self].record
	own.Draining = true
	leaver.applyRecord(n.now, own, 0)
	own.Final = finalLeft
	own.Successor = n.cores[2].self
	leaver.applyRecord(n.now, own, 0)
	highest := Rumour{Topic: TopicConfig, Key: "v", Version: 20}
	for version := range uint64(20) {
		n.publish(n.cores[version%6], Rumour{Topic: TopicConfig, Key: "v", Version: version + 1})
	}
	n.runUntil(time.Minute, func() bool {
		return n.allSee(others, []*core{leaver}, StateLeft) && n.allHave(others, highest)
	})
	n.run(time.Minute, func() {
		require.True(t, n.allHave(others, highest))
		for _, c := range others {
			require.Equal(t, n.cores[2].self, c.table.entries[leaver.self].Successor)
			require.Zero(t, c.stats.Deaths)
		}
	})
}

func TestLostRumourArrivesBySync(t *testing.T) {
	n := newNetwork(t, 10)
	n.addMany(6, "r1")
	isolated := n.cores[4]
	n.partitioned = func(a, b *core) bool { return a == isolated || b == isolated }
	r := Rumour{Topic: TopicPoison, Key: "digest", Version: 3, Payload: []byte("2")}
	n.publish(n.cores[0], r)
	n.run(2*time.Second, func() {})
	require.False(t, n.allHave([]*core{isolated}, r))
	for _, c := range n.cores {
		clear(c.broadcasts.pending) // only a sync can deliver the rumour now
	}
	n.partitioned = func(*core, *core) bool { return false }
	n.runUntil(time.Minute, func() bool { return n.allHave(n.cores, r) })
}

func TestRumoursExpireOnAllMembers(t *testing.T) {
	n := newNetwork(t, 11)
	n.addMany(6, "r1")
	r := Rumour{Topic: TopicLoad, Key: "owner", Version: 1}
	n.publish(n.cores[0], r)
	n.runUntil(10*time.Second, func() bool { return n.allHave(n.cores, r) })
	n.runUntil(2*loadTTL, func() bool {
		for _, c := range n.cores {
			if len(c.rumours.entries) != 0 {
				return false
			}
		}
		return true
	})
	n.run(loadTTL, func() {
		for _, c := range n.cores {
			require.Empty(t, c.rumours.entries, "gossip and syncs must not extend a rumour's TTL")
		}
	})
}

func TestWaveOfRumoursReachesSixtyMembers(t *testing.T) {
	n := newNetwork(t, 12)
	n.addMany(60, "r1")
	var wave []Rumour
	for host := range 290 {
		r := Rumour{Topic: TopicLeaving, Key: fmt.Sprintf("host/h%03d", host), Version: 1, Payload: make([]byte, 20)}
		wave = append(wave, r)
		n.publish(n.cores[host%60], r)
	}
	elapsed := n.runUntil(3*time.Second, func() bool {
		for _, r := range wave {
			if !n.allHave(n.cores, r) {
				return false
			}
		}
		return true
	})
	t.Logf("all rumours arrived after %v of simulated time", elapsed)
}

func TestLongPauseEndsIncarnation(t *testing.T) {
	n := newNetwork(t, 13)
	n.addMany(1, "r1")
	n.now = n.now.Add(DefaultTiming().MaxPause + time.Minute)
	n.step()
	require.True(t, n.cores[0].selfDead)
}

func TestNextIncarnationIsNewerThanAnyKnown(t *testing.T) {
	clusters := startCluster(t, 1)
	c := clusters[0]
	ahead := ident.NewIncarnation("n0", time.Now().Add(time.Hour))
	c.runStep(func(now time.Time) { c.core.applyRecord(now, record{Incarnation: ahead}, 0) })
	<-c.DeclaredDead()
	require.True(t, c.NextIncarnation().NewerThan(ahead))
}

func TestJoiningMemberLearnsLargeSiteFromSeed(t *testing.T) {
	n := newNetwork(t, 14)
	seed := n.add("seed", "r1", "d1")
	for i := range 460 { // known to the seed but unreachable
		seed.applyRecord(n.now, recordOf(Member{
			Incarnation: incarnationN(fmt.Sprintf("far-%d", i), 1), PeerAddress: "10.9.9.9:1",
			Region: "r2", FailureDomain: "r2-d1", CallerURL: "http://10.9.9.9:7001",
		}), 0)
	}
	clear(seed.broadcasts.pending)
	fresh := n.add("fresh", "r1", "d2")
	n.runUntil(10*time.Second, func() bool { return len(fresh.table.entries) == 462 })
}

func TestExtraSyncsFollowUpdates(t *testing.T) {
	n := newNetwork(t, 15)
	n.addMany(5, "r1")
	listener := n.cores[4]
	for version := range uint64(10) {
		n.run(20*time.Second, func() {})
		r := Rumour{Topic: TopicConfig, Key: "v", Version: version + 1}
		n.publish(n.cores[0], r)
		n.runUntil(10*time.Second, func() bool { return n.allHave([]*core{listener}, r) })
		before := listener.stats.Syncs
		n.run(2*3*extraSyncInterval/2+2*networkStep, func() {}) // twice the longest interval with jitter
		require.GreaterOrEqual(t, listener.stats.Syncs-before, uint64(extraSyncsPerUpdate))
	}
}

func TestGossipRoundSendsEachBroadcastOncePerTarget(t *testing.T) {
	n := newNetwork(t, 16)
	n.addMany(10, "r1")
	n.run(20*time.Second, func() {})
	c := n.cores[3]
	r := Rumour{Topic: TopicConfig, Key: "v", Version: 1}
	n.publish(c, r)
	c.gossip(n.now)
	require.Len(t, c.outgoing, gossipFanout)
	require.Equal(t, gossipFanout, c.broadcasts.pending[broadcastID{rumour: r.id()}].transmits)
}
