package faulttest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// startPlatform starts the platform's stand-in and has it offer hosts.
func (s *site) startPlatform() {
	address := s.freeAddress()
	s.startRole("platform", role{Kind: rolePlatform, Listen: address, Seed: s.options.seed})
	s.platform = "http://" + address
	s.waitListening(s.platform + "/counts")
	s.offerHosts()
}

// shortTimeoutClient is for calls of the tests themselves that are repeated if they fail.
var shortTimeoutClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// longTimeoutClient is for calls of the tests themselves that are made once and must succeed
// even on a slow machine.
var longTimeoutClient = &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// reclaimOrder is the body of the platform's POST /control/reclaim.
type reclaimOrder struct {
	Host     string `json:"host"`
	NoticeMs int64  `json:"noticeMs"`
}

// hostOrder is the body of the platform's POST /cloud/v1/hosts.
type hostOrder struct {
	ClientToken   string          `json:"clientToken"`
	FailureDomain string          `json:"failureDomain"`
	HostClass     string          `json:"hostClass"`
	Market        platform.Market `json:"market"`
}

// hostClass is the class of all hosts.
const hostClass = "entry"

// newHost has the platform start a host and returns its name.
func (s *site) newHost(name, domain string) ident.Host {
	var host platform.Host
	s.callPlatform(http.MethodPost, "/cloud/v1/hosts", hostOrder{ClientToken: name, FailureDomain: domain, HostClass: hostClass, Market: platform.MarketReclaimable}, &host)
	require.NotEmpty(s.t, host.ID)
	return ident.Host(host.ID)
}

// offerHosts has the platform offer hosts in every failure domain.
func (s *site) offerHosts() {
	var offers []platform.Offer
	for i := range domainCount {
		offers = append(offers, platform.Offer{FailureDomain: domainName(i), HostClass: hostClass, Market: platform.MarketReclaimable, PricePerHour: 1, Available: 100})
	}
	s.callPlatform(http.MethodPut, "/control/offers", offers, nil)
}

// callPlatform sends body to the platform and decodes the answer into out if out is not nil.
func (s *site) callPlatform(method, path string, body, out any) {
	data, err := json.Marshal(body)
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(s.t.Context(), method, s.platform+path, bytes.NewReader(data))
	require.NoError(s.t, err)
	resp, err := longTimeoutClient.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Less(s.t, resp.StatusCode, http.StatusBadRequest, path)
	if out != nil {
		require.NoError(s.t, json.NewDecoder(resp.Body).Decode(out))
	}
}
