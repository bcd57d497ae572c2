package faulttest

import (
	"os"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/testpause"
)

// holdProcess makes a node's process wait when it reaches point.
func (s *site) holdProcess(n *node, point testpause.Point) {
	require.NoError(s.t, os.WriteFile(testpause.HoldPath(s.dir, point, n.process.pid()), nil, 0o600))
}

// releaseProcess lets the node's process continue from point.
func (s *site) releaseProcess(n *node, point testpause.Point) {
	require.NoError(s.t, os.Remove(testpause.HoldPath(s.dir, point, n.process.pid())))
}

// waitAnyProcessHeld waits until one of the nodes' processes is held at point, and returns it.
func (s *site) waitAnyProcessHeld(point testpause.Point) *node {
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

// waitProcessHeld waits until a node's process is held at point.
func (s *site) waitProcessHeld(n *node, point testpause.Point) {
	s.eventually(n.name+" is held at "+string(point), func() bool {
		_, err := os.Stat(testpause.ReachedPath(s.dir, point, n.process.pid()))
		return err == nil
	})
	require.False(s.t, n.process.hasEnded(), "%s ended although it was held at %s", n.name, point)
}
