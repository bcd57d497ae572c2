// Package cli is the command line of callers and operators.
//
// Invariants: a request or change has its ID, and the ID is shown, before
// anything is sent; the exit code follows from the verdict or outcome alone.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/tables"
	"mangoledge.example/mangoledge/internal/version"
)

// Streams are where the command line reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app is one run of the command line.
type app struct {
	kingpin *kingpin.Application
	streams Streams
	connect connection
	output  string
	// arguments are what was given, for completion.
	arguments []string
	// commands holds what to do for each full command name.
	commands map[string]func(ctx context.Context) (ExitCode, error)
}

// terminated unwinds Run when kingpin has answered by itself, as for --help.
type terminated struct{ code int }

const about = `Send requests as a caller, and look after a site as an operator.

Callers need --addr and --token, operators --operator-addr and --token; each has
an environment variable. Try "mangoledge addresses" or "mangoledge show nodes".

Exit codes: 0 whole answer or accepted; 1 no answer; 2 wrong use or bad input;
3 not run; 4 may have run; 5 ran and failed; 6 change refused; 7 conflict;
8 outcome unknown; 9 not allowed.`

// Run runs the command line and returns the exit code.
func Run(arguments []string, streams Streams) (code int) {
	defer func() {
		if r := recover(); r != nil {
			end, ok := r.(terminated)
			if !ok {
				panic(r)
			}
			code = end.code
		}
	}()
	a := newApp(arguments, streams)
	name, err := a.kingpin.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "mangoledge: %v; try --help\n", err)
		return int(ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exit, err := a.commands[name](ctx)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "mangoledge: %v\n", err)
	}
	return int(exit)
}

func newApp(arguments []string, streams Streams) *app {
	a := &app{
		kingpin:   kingpin.New("mangoledge", about),
		streams:   streams,
		arguments: arguments,
		commands:  make(map[string]func(ctx context.Context) (ExitCode, error)),
	}
	a.kingpin.Version("mangoledge " + version.Version)
	a.kingpin.UsageWriter(streams.Out)
	a.kingpin.ErrorWriter(streams.Err)
	a.kingpin.Terminate(func(code int) { panic(terminated{code: code}) })
	a.kingpin.HelpFlag.Short('h')
	a.connect.flags(a.kingpin)
	a.kingpin.Flag("output", "Form of the output: table or json.").Short('o').Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	a.callerCommands()
	a.operatorCommands()
	a.logsCommand()
	a.versionCommand()
	return a
}

// command adds a command and what it does.
func (a *app) command(name, help string, run func(ctx context.Context) (ExitCode, error)) *kingpin.CmdClause {
	a.commands[name] = run
	return a.kingpin.Command(name, help)
}

func (a *app) callerCommands() {
	a.addressesCommand()
	a.sendCommand()
	a.fetchCommand()
	a.resumeCommand()
	a.cancelCommand()
}

func (a *app) operatorCommands() {
	for _, verb := range operatorVerbs {
		a.operatorCommand(verb, tables.Schema())
	}
}

func (a *app) versionCommand() {
	a.command("version", "Show the version of this program.", func(context.Context) (ExitCode, error) {
		_, err := fmt.Fprintln(a.streams.Out, "mangoledge", version.Version)
		return ExitOK, err
	})
}
