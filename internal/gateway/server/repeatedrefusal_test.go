package server_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEarlierRefusalRepeatedOnAKeptConnectionIsNotBelieved(t *testing.T) {
	for _, repeated := range []string{"with the earlier ID", "without an ID"} {
		for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
			t.Run(repeated+path, func(t *testing.T) {
				service := "plain"
				if path == "/stream/x" {
					service = "engine"
				}
				refusal := func(attempt string) string {
					return "HTTP/1.1 503 Service Unavailable\r\n" + attempt + "X-Mangoledge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
				}
				var earlier sync.Map // attempt IDs by connection
				s, n, _ := newRawSite(t, service, func(conn net.Conn, attempt string) {
					before, repeat := earlier.LoadOrStore(conn.RemoteAddr().String(), attempt)
					if !repeat {
						_, _ = fmt.Fprint(conn, refusal("X-Mangoledge-Attempt-Id: "+attempt+"\r\n"))
						return
					}
					again := fmt.Sprintf("X-Mangoledge-Attempt-Id: %s\r\n", before)
					if repeated == "without an ID" {
						again = ""
					}
					_, _ = fmt.Fprint(conn, refusal(again)) // while the replica runs the request
				})
				first := s.send(n, request{path: path, body: "b"})
				require.Equal(t, http.StatusServiceUnavailable, first.status)
				time.Sleep(300 * time.Millisecond) // the upstream may be tried again
				second := s.send(n, request{path: path, body: "b"})
				require.Equal(t, http.StatusBadGateway, second.status, second.body)
			})
		}
	}
}
