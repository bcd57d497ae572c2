package settings

import (
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
)

func (c *checker) checkListeners(s *Settings) {
	used := make(map[string]string)
	for _, listener := range []struct{ path, value string }{
		{"callerListen", s.CallerListen},
		{"operatorListen", s.OperatorListen},
		{"peerListen", s.PeerListen},
	} {
		if !c.checkAddress(listener.path, listener.value, true) {
			continue
		}
		if other, taken := used[listener.value]; taken {
			c.addFault(listener.path, listener.value, "an address other than that of "+other+" is allowed")
			continue
		}
		used[listener.value] = listener.path
	}
	if s.PeerAdvertise != s.PeerListen {
		c.checkAddress("peerAdvertise", s.PeerAdvertise, true)
	}
	c.checkReachable("peerAdvertise", s.PeerAdvertise)
	if s.CallerListen != "" {
		c.checkBaseURL("callerUrl", s.CallerURL, true)
	}
}

// checkReachable adds a fault for an unspecified IP address, such as 0.0.0.0, to which other hosts
// can't connect.
func (c *checker) checkReachable(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err == nil && parsed.Addr().IsUnspecified() {
		c.addFault(path, value, "an address that other hosts can connect to is allowed")
	}
}

// checkAddress reports whether value is an IP address with a port other than 0, and adds a fault if
// it is not.
func (c *checker) checkAddress(path, value string, required bool) bool {
	if value == "" && required {
		c.addMissing(path, addressAllowed)
		return false
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.addFault(path, value, addressAllowed)
		return false
	}
	return true
}

// checkBaseURL adds a fault if value is not an http or https URL of a reachable address without path,
// query, fragment or user. An empty value is a fault only if required is true.
func (c *checker) checkBaseURL(path, value string, required bool) {
	if value == "" {
		if required {
			c.addMissing(path, baseURLAllowed)
		}
		return
	}
	parsed, err := url.Parse(value)
	switch {
	case err != nil, parsed.Scheme != "http" && parsed.Scheme != "https", parsed.Host == "", !isAllowedPort(parsed.Port()):
		c.faults = append(c.faults, Fault{Path: path, Value: formatURL(value, parsed), Allowed: baseURLAllowed})
	case strings.Trim(parsed.Path, "/") != "", parsed.RawQuery != "", parsed.Fragment != "", parsed.User != nil:
		c.faults = append(c.faults, Fault{Path: path, Value: formatURL(value, parsed), Allowed: baseURLAllowed})
	case net.ParseIP(parsed.Hostname()) != nil && net.ParseIP(parsed.Hostname()).IsUnspecified():
		c.addFault(path, value, "an address that other hosts can connect to is allowed")
	}
}

func isAllowedPort(port string) bool {
	if port == "" {
		return true
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n <= 65535
}

// formatURL returns a URL as JSON for a fault, without any password that it contains.
func formatURL(value string, parsed *url.URL) string {
	if strings.Contains(value, "@") {
		if parsed == nil || parsed.User == nil {
			return ""
		}
		return formatValue(parsed.Redacted(), false)
	}
	return formatValue(value, false)
}

func (c *checker) checkPlatform(p *Platform) {
	c.checkBaseURL("platform.objectsUrl", p.ObjectsURL, true)
	c.checkBaseURL("platform.cloudUrl", p.CloudURL, false)
	c.checkBaseURL("platform.hostListUrl", p.HostListURL, false)
	c.checkBaseURL("platform.weightsUrl", p.WeightsURL, false)
}
