// Command mangoledge is the command line for callers and operators.
package main

import (
	"os"

	"mangoledge.example/mangoledge/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
