package node

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

func listen(ctx context.Context, setting, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrap(err, setting)
}
