package settings

import "mangoledge.example/mangoledge/internal/ident"

func (c *checker) checkNames(s *Settings) {
	const nodeAllowed = "1 to 40 characters out of a-z, 0-9 and - are allowed"
	if s.Node == "" {
		c.addMissing("node", nodeAllowed)
	} else if !nodePattern.MatchString(string(s.Node)) {
		c.addFault("node", s.Node, nodeAllowed)
	}
	c.checkName("failureDomain", string(s.FailureDomain), true)
	c.checkName("region", string(s.Region), false)
	if s.Host != ident.Host(s.Node) {
		c.checkName("host", string(s.Host), false)
	}
}

// checkName checks a name. An empty name is a fault only if required is true.
func (c *checker) checkName(path, name string, required bool) {
	const allowed = "1 to 64 characters out of letters, digits, '.', '_' and '-' are allowed, the first a letter or digit"
	if name == "" {
		if required {
			c.addMissing(path, allowed)
		}
		return
	}
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.addFault(path, name, allowed)
	}
}
