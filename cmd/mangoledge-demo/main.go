// Command mangoledge-demo runs a whole site with stand-ins on one machine and reclaims and stops
// hosts while it serves requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/demo"
)

// requestsFailedExitCode is the exit code if a request was lost, run twice or cut off.
const requestsFailedExitCode = 2

func main() {
	app := kingpin.New("mangoledge-demo", "Run a whole site with stand-ins on one machine and reclaim and stop hosts meanwhile.")
	bin := app.Flag("bin", "Folder of the built programs.").Required().ExistingDir()
	dir := app.Flag("dir", "Folder for logs and histories; a new temporary folder by default.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*bin, *dir))
}

// run runs the demo and returns the exit code.
func run(bin, dir string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if dir == "" {
		created, err := os.MkdirTemp("", "mangoledge-demo-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "mangoledge-demo:", err)
			return 1
		}
		dir = created
	}
	good, err := demo.New(bin, dir, os.Stdout).Run(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mangoledge-demo: %v (logs in %s)\n", err, dir)
		return 1
	}
	if !good {
		fmt.Fprintln(os.Stderr, "mangoledge-demo: logs in", dir)
		return requestsFailedExitCode
	}
	return 0
}
