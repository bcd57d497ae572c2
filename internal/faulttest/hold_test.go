package faulttest

import (
	"os"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/testpause"
)

// hold has a node's process wait when it comes to point.
func (s *site) hold(n *node, point testpause.Point) {
	require.NoError(s.t, os.WriteFile(testpause.HoldPath(s.dir, point, n.process.pid()), nil, 0o600))
}

// release lets it go on.
func (s *site) release(n *node, point testpause.Point) {
	require.NoError(s.t, os.Remove(testpause.HoldPath(s.dir, point, n.process.pid())))
}

// waitAnyHeld waits until one of the nodes' processes is held at point, and returns it.
func (s *site) waitAnyHeld(point testpause.Point) *node {
	var held *node
	s.eventually("a node is held at "+string(point), func() bool {
		for _, n := range s.nodes {
			if _, err := os.Stat(testpause.ReachedPath(s.dir, point, n.process.pid())); err == nil {
				held = n
			}
		}
		return held != nil
	})
	return held
}

// waitHeld waits until a node's process is held at point.
func (s *site) waitHeld(n *node, point testpause.Point) {
	s.eventually(n.name+" is held at "+string(point), func() bool {
		_, err := os.Stat(testpause.ReachedPath(s.dir, point, n.process.pid()))
		return err == nil
	})
	require.False(s.t, n.process.hasEnded(), "%s ended before it was killed at %s", n.name, point)
}
