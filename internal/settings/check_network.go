package settings

import (
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
)

func (c *checker) listeners(s *Settings) {
	used := make(map[string]string)
	for _, listener := range []struct{ path, value string }{
		{"callerListen", s.CallerListen},
		{"operatorListen", s.OperatorListen},
		{"peerListen", s.PeerListen},
	} {
		if !c.address(listener.path, listener.value, true) {
			continue
		}
		if other, twice := used[listener.value]; twice {
			c.add(listener.path, listener.value, "an address other than that of "+other+" is allowed")
			continue
		}
		used[listener.value] = listener.path
	}
	if s.PeerAdvertise != s.PeerListen {
		c.address("peerAdvertise", s.PeerAdvertise, true)
	}
	c.advertised("peerAdvertise", s.PeerAdvertise)
	if s.CallerListen != "" {
		c.baseURL("callerUrl", s.CallerURL, true)
	}
}

// advertised refuses an address that other hosts can't connect to.
func (c *checker) advertised(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err == nil && parsed.Addr().IsUnspecified() {
		c.add(path, value, "an address that other hosts can connect to is allowed")
	}
}

// address reports whether value is an IP address with a port other than 0.
func (c *checker) address(path, value string, required bool) bool {
	if value == "" && required {
		c.missing(path, addressAllowed)
		return false
	}
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		c.add(path, value, addressAllowed)
		return false
	}
	return true
}

func (c *checker) baseURL(path, value string, required bool) {
	if value == "" {
		if required {
			c.missing(path, baseURLAllowed)
		}
		return
	}
	parsed, err := url.Parse(value)
	switch {
	case err != nil, parsed.Scheme != "http" && parsed.Scheme != "https", parsed.Host == "", !portAllowed(parsed.Port()):
		c.faults = append(c.faults, Fault{Path: path, Value: shownURL(value, parsed), Allowed: baseURLAllowed})
	case strings.Trim(parsed.Path, "/") != "", parsed.RawQuery != "", parsed.Fragment != "", parsed.User != nil:
		c.faults = append(c.faults, Fault{Path: path, Value: shownURL(value, parsed), Allowed: baseURLAllowed})
	case net.ParseIP(parsed.Hostname()) != nil && net.ParseIP(parsed.Hostname()).IsUnspecified():
		c.add(path, value, "an address that other hosts can connect to is allowed")
	}
}

func portAllowed(port string) bool {
	if port == "" {
		return true
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n <= 65535
}

// shownURL returns a URL for a fault, without the password that it may hold.
func shownURL(value string, parsed *url.URL) string {
	if strings.Contains(value, "@") {
		if parsed == nil || parsed.User == nil {
			return ""
		}
		return shown(parsed.Redacted(), false)
	}
	return shown(value, false)
}

func (c *checker) platform(p *Platform) {
	c.baseURL("platform.objectsUrl", p.ObjectsURL, true)
	c.baseURL("platform.cloudUrl", p.CloudURL, false)
	c.baseURL("platform.hostListUrl", p.HostListURL, false)
	c.baseURL("platform.weightsUrl", p.WeightsURL, false)
}
