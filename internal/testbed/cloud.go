package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// hostClass is the class of all hosts of a Bed.
	hostClass = "small"
	// hostsPerOffer is how many hosts of each offer can run at once.
	hostsPerOffer = 100
)

// offer is an offer of the platform's stand-in, as JSON.
type offer struct {
	FailureDomain string  `json:"failureDomain"`
	HostClass     string  `json:"hostClass"`
	Market        string  `json:"market"`
	PricePerHour  float64 `json:"pricePerHour"`
	Available     int     `json:"available"`
}

// hostStartRequest is the body of a request to start a host.
type hostStartRequest struct {
	ClientToken   string `json:"clientToken"`
	FailureDomain string `json:"failureDomain"`
	HostClass     string `json:"hostClass"`
	Market        string `json:"market"`
}

// hostStartResponse is the part of the response to a hostStartRequest that a Bed uses.
type hostStartResponse struct {
	ID string `json:"id"`
}

// reclaimRequest is the body of a request for reclaim notices; an empty field matches any host.
type reclaimRequest struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	NoticeMs      int64  `json:"noticeMs"`
}

// OfferHosts sets the offers of the platform's stand-in: reclaimable and on-demand hosts in domains.
func (b *Bed) OfferHosts(domains ...ident.FailureDomain) error {
	var offers []offer
	for _, domain := range domains {
		offers = append(offers,
			offer{FailureDomain: string(domain), HostClass: hostClass, Market: "reclaimable", PricePerHour: 1, Available: hostsPerOffer},
			offer{FailureDomain: string(domain), HostClass: hostClass, Market: "on-demand", PricePerHour: 3, Available: hostsPerOffer})
	}
	return b.call(http.MethodPut, b.PlatformURL()+"/control/offers", offers, nil)
}

// startHost starts a host in domain and returns its ID. Without a platform, it returns
// an ID made from name.
func (b *Bed) startHost(name string, domain ident.FailureDomain) (ident.Host, error) {
	if b.platform == nil {
		return ident.Host("host-" + name), nil
	}
	var response hostStartResponse
	request := hostStartRequest{ClientToken: "bed-" + name, FailureDomain: string(domain), HostClass: hostClass, Market: "reclaimable"}
	err := b.call(http.MethodPost, b.PlatformURL()+"/cloud/v1/hosts", request, &response)
	return ident.Host(response.ID), err
}

// ReclaimHost makes the platform's stand-in give a reclaim notice to a host.
func (b *Bed) ReclaimHost(host ident.Host, notice time.Duration) error {
	return b.call(http.MethodPost, b.PlatformURL()+"/control/reclaim", reclaimRequest{Host: string(host), NoticeMs: notice.Milliseconds()}, nil)
}

// ReclaimDomain makes the platform's stand-in give a reclaim notice to every reclaimable
// host of a failure domain.
func (b *Bed) ReclaimDomain(domain ident.FailureDomain, notice time.Duration) error {
	return b.call(http.MethodPost, b.PlatformURL()+"/control/reclaim", reclaimRequest{FailureDomain: string(domain), NoticeMs: notice.Milliseconds()}, nil)
}

// call sends a JSON request to a stand-in and decodes the response into out, if out is
// not nil. A status of 400 or above is an error.
func (b *Bed) call(method, url string, body, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("%s %s: %s", method, url, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
