package platform

import (
	"net/http"
	"time"
)

// DefaultHostListLag is the default age of the host list.
const DefaultHostListLag = 2 * time.Second

// ListedHost is a host as the host list shows it.
type ListedHost struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	HostClass     string `json:"hostClass"`
	Address       string `json:"address,omitempty"`
	Leaving       bool   `json:"leaving"`
}

// HostListResponse is the host list as it was at AsOfMs.
type HostListResponse struct {
	AsOfMs int64        `json:"asOfMs"`
	Hosts  []ListedHost `json:"hosts"`
}

// hostList serves the cloud's hosts as they were the time lag ago.
type hostList struct {
	cloud *cloud
	lag   time.Duration
}

// newHostList returns the host list of cloud.
func newHostList(cloud *cloud, options Options) *hostList {
	lag := options.HostListLag
	if lag == 0 {
		lag = DefaultHostListLag
	}
	return &hostList{cloud: cloud, lag: lag}
}

// serve answers with the host list.
func (l *hostList) serve(w http.ResponseWriter, _ *http.Request) {
	at := l.cloud.clock().Add(-l.lag).UnixMilli()
	out := HostListResponse{AsOfMs: at, Hosts: []ListedHost{}}
	for _, h := range l.cloud.snapshot() {
		if h.StartedMs > at || (h.EndedMs != 0 && h.EndedMs <= at) {
			continue
		}
		out.Hosts = append(out.Hosts, ListedHost{
			Host: h.ID, FailureDomain: h.FailureDomain, HostClass: h.HostClass,
			Address: h.Address, Leaving: l.cloud.noticedBefore(h.ID, at),
		})
	}
	writeJSON(w, http.StatusOK, out)
}

// noticedBefore reports whether a host had a reclaim notice at the time at, in Unix milliseconds.
func (c *cloud) noticedBefore(host string, at int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.notices {
		if n.Host == host && n.GivenMs <= at {
			return true
		}
	}
	return false
}
