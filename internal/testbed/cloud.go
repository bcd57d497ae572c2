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
	// hostClass is the class of the bed's hosts.
	hostClass = "small"
	// offered is how many hosts of a domain can be had.
	offered = 100
)

// offer is a price of the cloud's stand-in.
type offer struct {
	FailureDomain string  `json:"failureDomain"`
	HostClass     string  `json:"hostClass"`
	Market        string  `json:"market"`
	PricePerHour  float64 `json:"pricePerHour"`
	Available     int     `json:"available"`
}

// hostStart asks the cloud's stand-in for a host.
type hostStart struct {
	ClientToken   string `json:"clientToken"`
	FailureDomain string `json:"failureDomain"`
	HostClass     string `json:"hostClass"`
	Market        string `json:"market"`
}

// hostAnswer is the part of the cloud's answer that the bed needs.
type hostAnswer struct {
	ID string `json:"id"`
}

// reclaim asks the cloud's stand-in for reclaim notices.
type reclaim struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	NoticeMs      int64  `json:"noticeMs"`
}

// OfferHosts has the cloud offer hosts in domains.
func (b *Bed) OfferHosts(domains ...ident.FailureDomain) error {
	var offers []offer
	for _, domain := range domains {
		offers = append(offers,
			offer{FailureDomain: string(domain), HostClass: hostClass, Market: "reclaimable", PricePerHour: 1, Available: offered},
			offer{FailureDomain: string(domain), HostClass: hostClass, Market: "on-demand", PricePerHour: 3, Available: offered})
	}
	return b.call(http.MethodPut, b.PlatformURL()+"/control/offers", offers, nil)
}

// startHost starts a host in domain and returns its name.
func (b *Bed) startHost(name string, domain ident.FailureDomain) (ident.Host, error) {
	if b.platform == nil {
		return ident.Host("host-" + name), nil
	}
	var answer hostAnswer
	start := hostStart{ClientToken: "bed-" + name, FailureDomain: string(domain), HostClass: hostClass, Market: "reclaimable"}
	err := b.call(http.MethodPost, b.PlatformURL()+"/cloud/v1/hosts", start, &answer)
	return ident.Host(answer.ID), err
}

// ReclaimHost has the cloud give notice to a host.
func (b *Bed) ReclaimHost(host ident.Host, notice time.Duration) error {
	return b.call(http.MethodPost, b.PlatformURL()+"/control/reclaim", reclaim{Host: string(host), NoticeMs: notice.Milliseconds()}, nil)
}

// ReclaimDomain has the cloud give notice to every host of a failure domain.
func (b *Bed) ReclaimDomain(domain ident.FailureDomain, notice time.Duration) error {
	return b.call(http.MethodPost, b.PlatformURL()+"/control/reclaim", reclaim{FailureDomain: string(domain), NoticeMs: notice.Milliseconds()}, nil)
}

// call sends a JSON call to a stand-in and reads its answer into out, if that is not nil.
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
