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
	// leasedModel is the model whose hosts the site starts itself.
	leasedModel = "leased"
	// leasedHosts is how many hosts it wants.
	leasedHosts = 2
	// leasedDomain is where they are started.
	leasedDomain = "d0"
)

// leaseSite is a site whose capacity is reconciled under a lease.
type leaseSite struct {
	*site
	store *objects.Client
	// leased are the engines on the hosts that the site starts.
	leased []*upstream
}

func startLeaseSite(t *testing.T, seed uint64) *leaseSite {
	t.Helper()
	s := &leaseSite{site: startSite(t, siteOptions{nodes: 4, services: 1, engines: 3, seed: seed})}
	s.store = objects.NewClient(objects.Options{BaseURL: s.platform})
	t.Cleanup(s.store.Close)
	return s
}

// offerEngines starts the engines that the cloud's hosts will be.
func (s *leaseSite) offerEngines(ignoreFencing bool) {
	var addresses []string
	for i := range leasedHosts {
		u := s.startEngine(len(s.engines)+i*domains, ignoreFencing)
		s.leased = append(s.leased, u)
		addresses = append(addresses, u.link.address)
	}
	s.put(http.MethodPut, "/control/addresses", addressOrder{FailureDomain: leasedDomain, Addresses: addresses}, nil)
}

// addressOrder is the body of the platform's PUT /control/addresses.
type addressOrder struct {
	FailureDomain string   `json:"failureDomain"`
	Addresses     []string `json:"addresses"`
}

// want declares that the leased model has this many replicas.
func (s *leaseSite) want(replicas int, checksFencing bool) {
	s.edit(s.store, func(site *config.Site) {
		site.Models = []config.Model{{Name: leasedModel, Version: "v1", Replicas: replicas}}
		site.Capacity = []config.Capacity{{
			FailureDomain: leasedDomain, HostClass: hostClass, MaxHosts: leasedHosts,
			MaxPricePerHour: 2, Reclaimable: true, ChecksFencing: checksFencing,
		}}
	})
}

// holder returns the lease as the store has it.
func (s *leaseSite) holder() lease.Record {
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

// intents returns what the ledger says.
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

func (s *leaseSite) ready() int {
	n := 0
	for _, i := range s.intents() {
		if i.Phase == capacity.PhaseReady {
			n++
		}
	}
	return n
}

// bill returns what the cloud charges for hosts that the site started itself.
func (s *leaseSite) bill() []platform.Host {
	var lines []platform.BillLine
	s.put(http.MethodGet, "/cloud/v1/bill", nil, &lines)
	var out []platform.Host
	for _, line := range lines {
		if strings.HasPrefix(line.Host.ClientToken, capacity.TokenPrefix) {
			out = append(out, line.Host)
		}
	}
	return out
}

func running(hosts []platform.Host) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.State == platform.HostRunning {
			out = append(out, h)
		}
	}
	return out
}

// startCalls returns how often the cloud was asked for a host.
func (s *leaseSite) startCalls() uint64 {
	var counts platform.Counts
	s.put(http.MethodGet, "/counts", nil, &counts)
	for _, c := range counts.Calls {
		if c.Service == platform.ServiceCloud && c.Verb == "start" {
			return c.Calls
		}
	}
	return 0
}

// orders returns the orders that the leased engines were given, of one event.
func (s *leaseSite) orders(event history.Event) []history.Entry {
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

// stopHolderAt has the holder of the lease come to point, stops its process
// there, runs meanwhile, and waits until another node holds the lease. It returns
// the stopped node and its fencing number.
func (s *leaseSite) stopHolderAt(point testpause.Point, declare, meanwhile func()) (*node, lease.Fence) {
	for _, n := range s.nodes {
		s.hold(n, point)
	}
	declare()
	first := s.waitAnyHeld(point)
	before := s.holder()
	require.Equal(s.t, first.settings.Node, before.Holder.Node(), "the node at %s holds the lease", point)
	at := s.fault(first.faultOf(historycheck.FaultPause))
	first.peers.setDatagrams(false) // none waits in its socket when it goes on
	require.NoError(s.t, first.process.stop())
	for _, n := range s.nodes {
		s.release(n, point)
	}
	meanwhile()
	s.eventually("another node holds the lease", func() bool {
		now := s.holder()
		return now.Holder != "" && now.Holder != before.Holder && now.Fence > before.Fence
	})
	s.over(at)
	return first, before.Fence
}

// continueHolder continues a stopped holder and waits for its late call. Until that
// has come no datagram passes: the holder would give its calls up as soon as it
// hears that it was declared dead.
func (s *leaseSite) continueHolder(first *node, what string, came func() bool) {
	s.t.Helper()
	for _, n := range s.nodes {
		n.peers.setDatagrams(false)
	}
	first.process.signal(syscall.SIGCONT)
	s.eventually(what, came)
	for _, n := range s.nodes {
		n.peers.setDatagrams(true)
	}
}

// checkBill checks that each running host is known, and was started once.
func (s *leaseSite) checkBill() {
	s.t.Helper()
	known := s.intents()
	tokens := make(map[string]bool)
	for _, h := range s.bill() {
		require.False(s.t, tokens[h.ClientToken], "started twice: %+v", h)
		tokens[h.ClientToken] = true
		if h.State == platform.HostRunning {
			require.Equal(s.t, h.ID, string(known[h.ClientToken].Host), "forgotten: %+v", h)
		}
	}
}

// TestLeaseHolderStoppedBeforeAHostStart continues it when another node has
// started the hosts under the same intents.
func TestLeaseHolderStoppedBeforeAHostStart(t *testing.T) {
	s := startLeaseSite(t, 31)
	s.offerEngines(true)
	first, _ := s.stopHolderAt(testpause.CapacityStart, func() { s.want(leasedHosts, false) }, func() {})
	s.eventually("the next holder has all hosts ready", func() bool { return s.ready() == leasedHosts })
	calls := s.startCalls()
	s.continueHolder(first, "its late start reaches the cloud", func() bool { return s.startCalls() > calls })
	require.Len(t, s.bill(), leasedHosts)
	s.checkBill()
}

// TestLeaseHolderStoppedBeforeAWithdrawnHostStart continues it when nobody wants
// the hosts any more: they start, and are found and ended.
func TestLeaseHolderStoppedBeforeAWithdrawnHostStart(t *testing.T) {
	s := startLeaseSite(t, 32)
	s.offerEngines(true)
	first, _ := s.stopHolderAt(testpause.CapacityStart, func() { s.want(leasedHosts, false) }, func() { s.want(0, false) })
	s.eventually("the next holder strikes the intents off", func() bool { return len(s.intents()) == 0 })
	require.Empty(t, s.bill())
	s.continueHolder(first, "its late starts reach the cloud", func() bool { return len(s.bill()) > 0 })
	s.eventually("what nobody wants is ended", func() bool { return len(running(s.bill())) == 0 })
	s.eventually("nothing is left in the ledger", func() bool { return len(s.intents()) == 0 })
	require.LessOrEqual(t, len(s.bill()), leasedHosts)
	s.checkBill()
}

// TestLeaseHolderStoppedBeforeAnOrder continues it when another node has given
// the same engines its orders.
func TestLeaseHolderStoppedBeforeAnOrder(t *testing.T) {
	for _, c := range []struct {
		name          string
		seed          uint64
		ignoreFencing bool
	}{{"engines check fencing", 33, false}, {"engines ignore fencing", 34, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := startLeaseSite(t, c.seed)
			s.offerEngines(c.ignoreFencing)
			first, late := s.stopHolderAt(testpause.CapacityOrder, func() { s.want(leasedHosts, !c.ignoreFencing) }, func() {})
			s.eventually("the next holder has all hosts ready", func() bool { return s.ready() == leasedHosts })
			given := len(s.orders(history.EventOrder)) + len(s.orders(history.EventFenced))
			s.continueHolder(first, "its late order reaches an engine", func() bool {
				return len(s.orders(history.EventOrder))+len(s.orders(history.EventFenced)) > given
			})
			for _, order := range s.orders(history.EventOrder) {
				require.Equal(t, "load "+leasedModel+" v1", order.Order, "only loads do no harm when late")
				if !c.ignoreFencing {
					require.Greater(t, order.Fencing, uint64(late), "an order of the stopped holder took effect")
				}
			}
			if !c.ignoreFencing {
				require.NotEmpty(t, s.orders(history.EventFenced))
			}
			require.Len(t, s.bill(), leasedHosts)
			s.checkBill()
		})
	}
}
