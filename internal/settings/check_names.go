package settings

import "mangoledge.example/mangoledge/internal/ident"

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
