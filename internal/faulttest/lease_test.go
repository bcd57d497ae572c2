package faulttest

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/standin/platform"
	"mangoledge.example/mangoledge/internal/testpause"
)

const (
	// leasedModel is the model whose hosts the site itself starts in the cloud.
	leasedModel = "leased"
	// leasedHostCount is how many hosts leasedModel needs.
	leasedHostCount = 2
	// leasedDomain is the failure domain in which they are started.
	leasedDomain = "d0"
)

// leaseSite is a site whose capacity is reconciled under a lease.
type leaseSite struct {
	*site
	store *objects.Client
	// leased are the engines on the hosts that the site itself starts.
	leased []*upstream
}

// startLeaseSite starts a site without hosts for the leased model.
func startLeaseSite(t *testing.T, seed uint64) *leaseSite {
	t.Helper()
	s := &leaseSite{site: startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: seed})}
	s.store = objects.NewClient(objects.Options{BaseURL: s.platform})
	t.Cleanup(s.store.Close)
	return s
}

// offerEngines starts an engine for each host that the site may start, and gives their
// addresses to the cloud.
func (s *leaseSite) offerEngines(ignoreFencing bool) {
	var addresses []string
	for i := range leasedHostCount {
		u := s.startEngine(len(s.engines)+i*domainCount, ignoreFencing)
		s.leased = append(s.leased, u)
		addresses = append(addresses, u.link.address)
	}
	s.callPlatform(http.MethodPut, "/control/addresses", addressOrder{FailureDomain: leasedDomain, Addresses: addresses}, nil)
}

// addressOrder is the body of the platform's PUT /control/addresses.
type addressOrder struct {
	FailureDomain string   `json:"failureDomain"`
	Addresses     []string `json:"addresses"`
}

// declareReplicas sets the number of replicas of the leased model in the configuration.
func (s *leaseSite) declareReplicas(replicas int, checksFencing bool) {
	s.editConfig(s.store, func(site *config.Site) {
		site.Models = []config.Model{{Name: leasedModel, Version: "v1", Replicas: replicas}}
		site.Capacity = []config.Capacity{{
			FailureDomain: leasedDomain, HostClass: hostClass, MaxHosts: leasedHostCount,
			MaxPricePerHour: 2, Reclaimable: true, ChecksFencing: checksFencing,
		}}
	})
}

// leaseRecord returns the lease in the store, or a zero record if it cannot be read.
func (s *leaseSite) leaseRecord() lease.Record {
	var record lease.Record
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, lease.Kind, capacity.LeaseName)
	if err != nil {
		return record
	}
	require.NoError(s.t, json.Unmarshal(object.Spec, &record))
	return record
}

// intents returns the intents in the ledger by their tokens.
func (s *leaseSite) intents() map[string]capacity.Intent {
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	out := make(map[string]capacity.Intent)
	object, err := s.store.Get(ctx, capacity.LedgerKind, leasedDomain)
	if objects.KindOf(err) == objects.KindNotFound {
		return out
	}
	require.NoError(s.t, err)
	var ledger capacity.Ledger
	require.NoError(s.t, json.Unmarshal(object.Spec, &ledger))
	for _, i := range ledger.Intents {
		out[i.Token] = i
	}
	return out
}

// readyCount returns the number of intents whose hosts are ready.
func (s *leaseSite) readyCount() int {
	n := 0
	for _, i := range s.intents() {
		if i.Phase == capacity.PhaseReady {
			n++
		}
	}
	return n
}

// billedHosts returns the hosts on the cloud's bill that the site itself started.
func (s *leaseSite) billedHosts() []platform.Host {
	var lines []platform.BillLine
	s.callPlatform(http.MethodGet, "/cloud/v1/bill", nil, &lines)
	var out []platform.Host
	for _, line := range lines {
		if strings.HasPrefix(line.Host.ClientToken, capacity.TokenPrefix) {
			out = append(out, line.Host)
		}
	}
	return out
}

// runningHosts returns the hosts that run.
func runningHosts(hosts []platform.Host) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.State == platform.HostRunning {
			out = append(out, h)
		}
	}
	return out
}

// startCallCount returns how many times the cloud was called to start a host.
func (s *leaseSite) startCallCount() uint64 {
	var counts platform.Counts
	s.callPlatform(http.MethodGet, "/counts", nil, &counts)
	for _, c := range counts.Calls {
		if c.Service == platform.ServiceCloud && c.Verb == "start" {
			return c.Calls
		}
	}
	return 0
}

// engineOrders returns the entries of an event in the histories of the leased engines.
func (s *leaseSite) engineOrders(event history.Event) []history.Entry {
	var out []history.Entry
	for _, u := range s.leased {
		entries, err := history.Read(u.role.Engine.HistoryPath)
		require.NoError(s.t, err)
		for _, e := range entries {
			if e.Event == event {
				out = append(out, e)
			}
		}
	}
	return out
}

// suspendHolderAt calls declare, waits until the holder of the lease reaches point, suspends its
// process there, calls meanwhile, and waits until another node holds the lease. It returns
// the suspended node and its fencing number.
func (s *leaseSite) suspendHolderAt(point testpause.Point, declare, meanwhile func()) (*node, lease.Fence) {
	for _, n := range s.nodes {
		s.holdProcess(n, point)
	}
	declare()
	first := s.waitAnyProcessHeld(point)
	before := s.leaseRecord()
	require.Equal(s.t, first.settings.Node, before.Holder.Node(), "the node at %s holds the lease", point)
	fault := s.beginFault(first.processFault(historycheck.FaultPause))
	first.peerLink.setDatagrams(false) // no datagram waits in its socket when it is resumed
	require.NoError(s.t, first.process.suspend())
	for _, n := range s.nodes {
		s.releaseProcess(n, point)
	}
	meanwhile()
	s.eventually("another node holds the lease", func() bool {
		now := s.leaseRecord()
		return now.Holder != "" && now.Holder != before.Holder && now.Fence > before.Fence
	})
	s.endFault(fault)
	return first, before.Fence
}

// resumeHolder resumes a suspended holder and waits until came reports that its late call, which
// what describes, has arrived. Until then all datagrams are dropped: the holder would cancel its
// calls as soon as it learned that it was declared dead.
func (s *leaseSite) resumeHolder(first *node, what string, came func() bool) {
	s.t.Helper()
	for _, n := range s.nodes {
		n.peerLink.setDatagrams(false)
	}
	first.process.signal(syscall.SIGCONT)
	s.eventually(what, came)
	for _, n := range s.nodes {
		n.peerLink.setDatagrams(true)
	}
}

// checkBill checks that each running host is in the ledger and that no host was started twice.
func (s *leaseSite) checkBill() {
	s.t.Helper()
	known := s.intents()
	tokens := make(map[string]bool)
	for _, h := range s.billedHosts() {
		require.False(s.t, tokens[h.ClientToken], "started twice: %+v", h)
		tokens[h.ClientToken] = true
		if h.State == platform.HostRunning {
			require.Equal(s.t, h.ID, string(known[h.ClientToken].Host), "running but not in the ledger: %+v", h)
		}
	}
}

// TestLeaseHolderStoppedBeforeAHostStart resumes a suspended holder after another node has
// started the hosts under the same intents. Its late start must not start a second host.
func TestLeaseHolderStoppedBeforeAHostStart(t *testing.T) {
	s := startLeaseSite(t, 31)
	s.offerEngines(true)
	first, _ := s.suspendHolderAt(testpause.CapacityStart, func() { s.declareReplicas(leasedHostCount, false) }, func() {})
	s.eventually("the next holder has all hosts ready", func() bool { return s.readyCount() == leasedHostCount })
	calls := s.startCallCount()
	s.resumeHolder(first, "its late start reaches the cloud", func() bool { return s.startCallCount() > calls })
	require.Len(t, s.billedHosts(), leasedHostCount)
	s.checkBill()
}

// TestLeaseHolderStoppedBeforeAWithdrawnHostStart resumes a suspended holder when the hosts are
// no longer wanted. Its late calls start them, and the site must find and terminate them.
func TestLeaseHolderStoppedBeforeAWithdrawnHostStart(t *testing.T) {
	s := startLeaseSite(t, 32)
	s.offerEngines(true)
	first, _ := s.suspendHolderAt(testpause.CapacityStart, func() { s.declareReplicas(leasedHostCount, false) }, func() { s.declareReplicas(0, false) })
	s.eventually("the next holder removes the intents", func() bool { return len(s.intents()) == 0 })
	require.Empty(t, s.billedHosts())
	s.resumeHolder(first, "its late starts reach the cloud", func() bool { return len(s.billedHosts()) > 0 })
	s.eventually("the hosts that are not wanted are terminated", func() bool { return len(runningHosts(s.billedHosts())) == 0 })
	s.eventually("the ledger is empty", func() bool { return len(s.intents()) == 0 })
	require.LessOrEqual(t, len(s.billedHosts()), leasedHostCount)
	s.checkBill()
}

// TestLeaseHolderStoppedBeforeAnOrder resumes a suspended holder after another node has given
// its own orders to the same engines. Engines that check fencing must refuse the late order;
// to the others it may only be an order to load a model, which does no harm when it is late.
func TestLeaseHolderStoppedBeforeAnOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		seed          uint64
		ignoreFencing bool
	}{{"engines check fencing", 33, false}, {"engines ignore fencing", 34, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := startLeaseSite(t, c.seed)
			s.offerEngines(c.ignoreFencing)
			first, late := s.suspendHolderAt(testpause.CapacityOrder, func() { s.declareReplicas(leasedHostCount, !c.ignoreFencing) }, func() {})
			s.eventually("the next holder has all hosts ready", func() bool { return s.readyCount() == leasedHostCount })
			given := len(s.engineOrders(history.EventOrder)) + len(s.engineOrders(history.EventFenced))
			s.resumeHolder(first, "its late order reaches an engine", func() bool {
				return len(s.engineOrders(history.EventOrder))+len(s.engineOrders(history.EventFenced)) > given
			})
			for _, order := range s.engineOrders(history.EventOrder) {
				require.Equal(t, "load "+leasedModel+" v1", order.Order, "only a load is harmless when it is late")
				if !c.ignoreFencing {
					require.Greater(t, order.Fencing, uint64(late), "an order of the suspended holder took effect")
				}
			}
			if !c.ignoreFencing {
				require.NotEmpty(t, s.engineOrders(history.EventFenced))
			}
			require.Len(t, s.billedHosts(), leasedHostCount)
			s.checkBill()
		})
	}
}
