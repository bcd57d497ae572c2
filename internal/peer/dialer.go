package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
)

// dialTimeout is the timeout for connecting, and for the handshake after it.
const dialTimeout = time.Second

// Dialer opens connections to other nodes.
type Dialer struct {
	// Token is the secret shared by all nodes of a site.
	Token string
	// TLS is nil for plain TCP.
	TLS *tls.Config
}

// Dial opens a connection to address, over TLS if configured.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if d.TLS == nil {
		var plain net.Dialer
		return plain.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{Config: d.TLS}
	return secure.DialContext(ctx, "tcp", address)
}

// dialRPC opens a connection and switches it to net/rpc.
func (d Dialer) dialRPC(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(dialTimeout)
	_ = conn.SetDeadline(deadline)
	if err := d.handshake(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, nil
}

// handshake asks the other node to switch conn to net/rpc.
func (d Dialer) handshake(conn net.Conn) error {
	req, err := http.NewRequest(http.MethodConnect, "http://peer"+rpcPath, nil) //nolint:noctx // the connection has a deadline
	if err != nil {
		return err
	}
	req.URL.Opaque = rpcPath
	SetToken(req, d.Token)
	if err := req.Write(conn); err != nil {
		return err
	}
	head := bounded.NewReader(conn)
	head.SetLimit(bounded.MaxHeadBytes)
	// A buffer of one byte leaves the bytes after the response head to net/rpc.
	resp, err := http.ReadResponse(bufio.NewReaderSize(head, 1), req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("the node at %s refused the connection: %s", conn.RemoteAddr(), resp.Status)
	}
	return nil
}
