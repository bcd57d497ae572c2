package server_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

func TestErrorOfNextUpstreamIsNoPartOfAStreamThatBegan(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "302 Found", "400 Bad Request", "404 Not Found", "421 Misdirected Request", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			s := newTestSite(t)
			s.addReplica("i-p", "plain")
			one := s.addReplica("i-1", "engine")
			s.putConfig(1, nil)
			n := s.startNode(1, "a", nil)
			s.waitReadyToRetry(n)
			two := platformtest.NewRawReplica(t, "i-2", func(conn net.Conn, attempt string) {
				head := platformtest.SignedHeader(status, attempt)
				if status == "200 OK" {
					head = strings.ReplaceAll(head, "X-Mangoledge-Server-Signature", "X-Unsigned")
				}
				body := "the error's text\n"
				if status == "204 No Content" {
					body = ""
				}
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			})
			s.store.Put("servers", "i-2", two.Entry("engine"))
			require.Eventually(t, func() bool { return s.stateOf(n).Upstreams["engine"] == 2 }, waitTimeout, 20*time.Millisecond)
			one.SetBehaviours(platformtest.Truncates)
			for range 20 {
				before := two.Requests()
				got := s.send(n, request{path: "/resume/x", body: "prompt"})
				require.NotContains(t, got.body, "error's text")
				require.NotContains(t, got.body, "HTTP/1.1")
				if strings.HasPrefix(got.body, "id: 1\n") {
					require.Error(t, got.err, "a stream that broke off looks complete")
					if two.Requests() > before {
						return
					}
				}
			}
			t.Fatal("no stream was continued at the second upstream")
		})
	}
}
