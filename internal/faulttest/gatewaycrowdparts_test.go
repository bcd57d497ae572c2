package faulttest

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
)

// partsCrowd is a crowd of which every client sends requests one after another, each with prompt parts that
// no other request has.
var partsCrowd = crowdShape{name: "PartsOfPrompts", clients: 10, events: 1, send: func(c *crowdClient) {
	const requests, parts = 120, 600
	reader := bufio.NewReader(c.conn)
	for i := range requests {
		var prompt strings.Builder
		for part := range parts {
			fmt.Fprintf(&prompt, "%x.%x.%x:0,", c.number, i, part)
		}
		head := c.head("/stream/", unlimitedKey) + "X-Mangoledge-Model: m\r\nX-Mangoledge-Token-Usage: 10,10\r\n" +
			"X-Mangoledge-Prefix-Hash: " + prompt.String() + "last:10\r\nContent-Length: 0\r\n\r\n"
		if !c.write([]byte(head)) || !skipResponse(reader) {
			return
		}
	}
}}

// TestPartsOfPromptsDoNotEndTheNode guards what a node remembers of requests that are over.
func TestPartsOfPromptsDoNotEndTheNode(t *testing.T) {
	s := startCrowdSite(t, &partsCrowd)
	s.releaseCrowd(t, &partsCrowd)
	s.requireSound(t, &partsCrowd)
}
