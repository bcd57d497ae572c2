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
	missingText     = "is missing and has no default; "
)

var (
	nodePattern = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

// checker collects faults in the values of decoded settings.
type checker struct {
	faults Faults
}

// Check returns all faults of s. Defaults must be filled in before.
func (s *Settings) Check() Faults {
	c := new(checker)
	c.checkNames(s)
	c.checkListeners(s)
	c.checkSecret("peerToken", s.PeerToken)
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds[%d]", i), seed, false)
	}
	c.checkPlatform(&s.Platform)
	c.checkTokens(s.Tokens)
	c.checkTLS(s.TLS)
	c.checkPeerTLS(s.PeerTLS)
	c.checkLog(s.Log)
	c.checkLimits(&s.Limits)
	return c.faults
}

func (c *checker) addFault(path string, value any, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: formatValue(value, false), Allowed: allowed})
}

// addMissing adds a fault for a required setting that is missing.
func (c *checker) addMissing(path, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Allowed: missingText + allowed})
}

func (c *checker) checkSecret(path, value string) {
	if value == "" {
		c.addMissing(path, "any secret text is allowed, the same on all nodes of a site")
	}
}

func (c *checker) checkTLS(tls *TLS) {
	if tls == nil {
		return
	}
	c.checkFile("tls.certFile", tls.CertFile)
	c.checkFile("tls.keyFile", tls.KeyFile)
}

func (c *checker) checkPeerTLS(tls *PeerTLS) {
	if tls == nil {
		return
	}
	c.checkFile("peerTls.certFile", tls.CertFile)
	c.checkFile("peerTls.keyFile", tls.KeyFile)
	c.checkFile("peerTls.caFile", tls.CAFile)
}

func (c *checker) checkFile(path, file string) {
	if file == "" {
		c.addMissing(path, "the path of a PEM file is allowed")
	}
}

func (c *checker) checkLog(log Log) {
	c.checkOneOf("log.level", log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", log.Format, "text", "json")
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	for _, choice := range allowed {
		if value == choice {
			return
		}
	}
	c.addFault(path, value, "one of "+strings.Join(allowed, ", ")+" is allowed")
}
