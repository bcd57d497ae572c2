package faulttest

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// shortBodies is a crowd of which every second client sends a body that never ends, and the others whole
// ones without waiting.
var shortBodies = crowdShape{name: "ShortAndPipelinedBodies", clients: 300, send: func(c *crowdClient) {
	if c.number%2 == 0 {
		c.sendPipelinedBodies()
		return
	}
	_ = c.write(c.lengthHead(keyOf(c.number), crowdMaxBody, "")) && c.write(shortBody)
}}

// TestCrowdInWavesDoesNotEndTheNode lets further crowds come while the earlier ones are still open.
func TestCrowdInWavesDoesNotEndTheNode(t *testing.T) {
	s := startCrowdSite(t, &shortBodies)
	const waves = 3
	for range waves {
		s.releaseCrowd(t, &shortBodies)
		s.requireOrdinaryAnswers(t, s.nodes[0])
	}
	s.requireSound(t, &shortBodies)
}

// announcedBodies is a crowd whose bodies are far over the limit, and sent behind a whole request.
var announcedBodies = crowdShape{name: "AnnouncedBodies", clients: 600, send: func(c *crowdClient) {
	_ = c.write(c.lengthHead(unlimitedKey, 0, "")) && c.write(c.lengthHead(keyOf(c.number), 1<<30, "")) && c.write(crowdBody)
}}

// TestCrowdBeforeTheConfigurationDoesNotEndTheNode lets a crowd come to a node that has no configuration
// yet.
func TestCrowdBeforeTheConfigurationDoesNotEndTheNode(t *testing.T) {
	s := startGatewaySite(t, 0, 2)
	s.store.Remove("config", "main")
	s.launchCrowdNode(t, &shortBodies)
	n := s.nodes[0]
	require.Eventually(t, func() bool {
		return s.statusOf(n, platformtest.FrontPort, "/open/ready") == http.StatusServiceUnavailable
	},
		gatewayReadyTimeout, 50*time.Millisecond)
	s.releaseCrowd(t, &announcedBodies)
	s.store.Put("config", "main", crowdConfig(100))
	s.waitUntilServing()
	s.requireSound(t, &shortBodies)
}

// TestCrowdAtAChangeOfLimitsDoesNotEndTheNode changes the limit of bodies while a crowd's arrive.
func TestCrowdAtAChangeOfLimitsDoesNotEndTheNode(t *testing.T) {
	s := startCrowdSite(t, &shortBodies)
	s.releaseCrowd(t, &shortBodies)
	for version, size := range []int{4 * crowdMaxBody, crowdMaxBody / 4, crowdMaxBody} {
		config := crowdConfig(101 + version)
		config["limits"].(map[string]any)["max_body_bytes"] = size
		s.store.Put("config", "main", config)
		require.Eventually(t, func() bool { return s.configVersionAt(s.nodes[0]) == 101+version }, gatewayReadyTimeout, 20*time.Millisecond)
		s.releaseCrowd(t, &shortBodies)
	}
	s.requireSound(t, &shortBodies)
}

// TestCrowdDuringAStopDoesNotHoldTheNode stops a node while a crowd is connected, and lets another one
// come while it stops. The process ends by itself, and the next one answers.
func TestCrowdDuringAStopDoesNotHoldTheNode(t *testing.T) {
	s := startCrowdSite(t, &shortBodies)
	s.releaseCrowd(t, &shortBodies)
	n := s.nodes[0]
	s.requireSound(t, &shortBodies)
	n.process.signal(syscall.SIGTERM)
	s.releaseCrowd(t, &shortBodies)
	require.True(t, n.process.waitEnd(endTimeout), "the node did not stop")
	require.True(t, n.process.cmd.ProcessState.Success(), "the node was ended")
	s.nodes = nil
	s.launchCrowdNode(t, &shortBodies)
	s.waitUntilServing()
	require.Eventually(t, func() bool {
		status, err := s.askAsOrdinaryCaller(s.nodes[0], "127.0.0.1", platformtest.WorkspaceKey)
		return err == nil && status == http.StatusOK
	}, gatewayReadyTimeout, 50*time.Millisecond, "the quota is refused for longer than a new process counts what others spent")
	s.requireSound(t, &shortBodies)
}
