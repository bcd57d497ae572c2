package slopes

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

const (
	// siteHosts is how many hosts the upstreams of the large site run on, two upstreams a
	// host.
	siteHosts = siteUpstreams / 2
	// readCount is how often each list is decoded.
	readCount = 20
)

// measureLists measures the sizes of the platform's lists and the processor time to decode
// them.
func measureLists() ([]Figure, error) {
	var domain fleet.DomainList
	for n := range siteUpstreams / domains {
		domain.Upstreams = append(domain.Upstreams, upstreamN(n*domains))
	}
	var hosts hostlist.List
	var paid []cloud.Host
	for n := range siteHosts {
		u := upstreamN(2 * n)
		address := u.URL[len("http://"):]
		hosts.Hosts = append(hosts.Hosts, hostlist.Host{Host: u.Host, FailureDomain: u.FailureDomain, HostClass: u.HostClass, Address: address})
		paid = append(paid, cloud.Host{
			ID: u.Host, ClientToken: fmt.Sprintf("mangoledge-capacity-%026d", n),
			Pool:  cloud.Pool{FailureDomain: u.FailureDomain, HostClass: u.HostClass, Market: cloud.MarketReclaimable},
			State: cloud.StateRunning, Address: address, PricePerHour: 1,
		})
	}
	var out []Figure
	for _, one := range []struct {
		name string
		how  string
		list any
		into func() any
	}{
		{"domain", fmt.Sprintf("the list of one failure domain, %d upstreams", len(domain.Upstreams)), &domain, func() any { return new(fleet.DomainList) }},
		{"hosts", fmt.Sprintf("the platform's list of %d hosts", siteHosts), &hosts, func() any { return new(hostlist.List) }},
		{"cloud", fmt.Sprintf("the cloud's list of %d hosts", siteHosts), &paid, func() any { return new([]cloud.Host) }},
	} {
		figures, err := measureList(one.name, one.how, one.list, one.into)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return append(out, countHostListReads()...), nil
}

// measureList measures the size of one list, plain and in gzip, and the time to decode it.
func measureList(name, how string, list any, into func() any) ([]Figure, error) {
	data, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	var failure error
	read := processorTimePerCall(readCount, func(int) { failure = firstError(failure, json.Unmarshal(data, into())) })
	return []Figure{
		{Name: "lists." + name + "_bytes", Value: float64(len(data)), Unit: unitBytes, How: how + ", JSON"},
		{Name: "lists." + name + "_gzip", Value: float64(packed.Len()), Unit: unitBytes, How: how + ", JSON in gzip"},
		{Name: "lists." + name + "_read", Value: read, Unit: unitMicroseconds, How: how + ", decoded"},
	}, failure
}
