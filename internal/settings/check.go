package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	sha256HexLength = 64
	maxNameLength   = 64
	addressAllowed  = "IP address and port, such as 10.0.0.5:7001, are allowed"
	baseURLAllowed  = "an http or https base URL without path, such as http://10.0.0.5:7001, is allowed"
	missing         = "is missing and has no default; "
)

var (
	nodePattern = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// checker collects the faults of settings whose types are right.
type checker struct {
	faults Faults
}

// Check returns every fault of s, whose defaults have been filled in.
func (s *Settings) Check() Faults {
	c := new(checker)
	c.names(s)
	c.listeners(s)
	c.secret("peerToken", s.PeerToken)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	c.platform(&s.Platform)
	c.tokens(s.Tokens)
	c.tls(s.TLS)
	c.peerTLS(s.PeerTLS)
	c.log(s.Log)
	c.limits(&s.Limits)
	return c.faults
}

func (c *checker) add(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: shown(value, false), Allowed: allowed})
}

func (c *checker) missing(path, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Allowed: missing + allowed})
}

func (c *checker) names(s *Settings) {
	const nodeAllowed = "1 to 40 characters out of a-z, 0-9 and - are allowed"
	if s.Node == "" {
		c.missing("node", nodeAllowed)
	} else if !nodePattern.MatchString(string(s.Node)) {
		c.add("node", s.Node, nodeAllowed)
	}
	c.name("failureDomain", string(s.FailureDomain), true)
	c.name("region", string(s.Region), false)
	if s.Host != ident.Host(s.Node) {
		c.name("host", string(s.Host), false)
	}
}

// name checks a name; an empty one is a fault when it is required.
func (c *checker) name(path, name string, required bool) {
	const allowed = "1 to 64 characters out of letters, digits, '.', '_' and '-' are allowed, the first a letter or digit"
	if name == "" {
		if required {
			c.missing(path, allowed)
		}
		return
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.add(path, name, allowed)
	}
}

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

func (c *checker) secret(path, value string) {
	if value == "" {
		c.missing(path, "any secret text is allowed, the same on all nodes of a site")
	}
}

func (c *checker) platform(p *Platform) {
	c.baseURL("platform.objectsUrl", p.ObjectsURL, true)
	c.baseURL("platform.cloudUrl", p.CloudURL, false)
	c.baseURL("platform.hostListUrl", p.HostListURL, false)
	c.baseURL("platform.weightsUrl", p.WeightsURL, false)
}

func (c *checker) tokens(tokens []Token) {
	names := make(map[string]bool)
	digests := make(map[string]bool)
	for i, token := range tokens {
		path := fmt.Sprintf("tokens[%d].", i)
		c.name(path+"name", token.Name, true)
		if token.Name != "" && names[token.Name] {
			c.add(path+"name", token.Name, "a name that no other token has is allowed")
		}
		names[token.Name] = true
		c.role(path, token.Role, token.Workspace)
		c.digest(path+"sha256", token.SHA256, digests)
	}
}

func (c *checker) role(path string, role Role, workspace ident.Workspace) {
	switch role {
	case RoleCaller:
		c.name(path+"workspace", string(workspace), true)
	case RoleOperator:
		if workspace != "" {
			c.add(path+"workspace", workspace, "no workspace is allowed for the role operator")
		}
	default:
		c.add(path+"role", role, `"caller" or "operator" is allowed`)
	}
}

func (c *checker) digest(path, digest string, seen map[string]bool) {
	const allowed = "64 hexadecimal digits are allowed: the SHA-256 digest of the token"
	if raw, err := hex.DecodeString(digest); err != nil || len(raw)*2 != sha256HexLength {
		c.faults = append(c.faults, Fault{Path: path, Allowed: allowed})
		return
	}
	digest = strings.ToLower(digest)
	if seen[digest] {
		c.faults = append(c.faults, Fault{Path: path, Allowed: "a token that is not listed yet is allowed"})
	}
	seen[digest] = true
}

func (c *checker) tls(tls *TLS) {
	if tls == nil {
		return
	}
	c.file("tls.certFile", tls.CertFile)
	c.file("tls.keyFile", tls.KeyFile)
}

func (c *checker) peerTLS(tls *PeerTLS) {
	if tls == nil {
		return
	}
	c.file("peerTls.certFile", tls.CertFile)
	c.file("peerTls.keyFile", tls.KeyFile)
	c.file("peerTls.caFile", tls.CAFile)
}

func (c *checker) file(path, file string) {
	if file == "" {
		c.missing(path, "the path of a PEM file is allowed")
	}
}

func (c *checker) log(log Log) {
	c.oneOf("log.level", log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", log.Format, "text", "json")
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, one := range allowed {
		if value == one {
			return
		}
	}
	c.add(path, value, "one of "+strings.Join(allowed, ", ")+" is allowed")
}
