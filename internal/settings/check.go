package settings

import (
	"fmt"
	"regexp"
	"strings"
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

func (c *checker) secret(path, value string) {
	if value == "" {
		c.missing(path, "any secret text is allowed, the same on all nodes of a site")
	}
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
