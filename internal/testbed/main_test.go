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

// TestMain runs the tests, or, if the executable has the name of a program that a Bed
// starts, that program.
func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "mangoledge-standin":
		// The arguments are: platform --listen <address>.
		runProgram(func(ctx context.Context) error { return platform.Run(ctx, os.Args[3], 1) })
	case "mangoledged":
		runProgram(runNode)
	}
	os.Exit(m.Run())
}

// runProgram runs a program until it fails or gets SIGTERM, and exits.
func runProgram(run func(context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// runNode runs a node with the settings named by the arguments: --settings <path>.
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
		return errors.New("ended by a signal")
	}
}
