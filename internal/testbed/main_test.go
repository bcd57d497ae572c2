package testbed

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/node"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// TestMain runs the tests, or, under the name of a program of the bed, that program.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "mangoledge-standin":
		// The arguments are: platform --listen <address>.
		endBy(func(ctx context.Context) error { return platform.Run(ctx, os.Args[3], 1) })
	case "mangoledged":
		endBy(runNode)
	}
	os.Exit(m.Run())
}

// endBy runs a program until it fails or is told to end.
func endBy(run func(context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// runNode runs a node with the settings of the arguments: --settings <path>.
func runNode(ctx context.Context) error {
	loaded, err := settings.Load(os.Args[2])
	if err != nil {
		return err
	}
	n, err := node.New(loaded, os.Stderr)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case err := <-n.Failures():
		return err
	case <-ctx.Done():
		return errors.New("told to end")
	}
}
