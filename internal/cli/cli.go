// Package cli is the command line of callers and operators.
//
// Invariants: a request or change has an ID, and the ID is printed, before
// anything is sent; the exit code depends only on the verdict or outcome.
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

// Streams holds the standard streams of the command line.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app is one run of the command line.
type app struct {
	kingpin    *kingpin.Application
	streams    Streams
	connection connection
	output     string
	// arguments holds the command line's arguments, for completion.
	arguments []string
	// commands holds the function of each command, by its full name.
	commands map[string]func(ctx context.Context) (ExitCode, error)
}

// kingpinExit is the panic value that ends Run if kingpin itself handles the arguments, as
// for --help.
type kingpinExit struct{ code int }

// about is the program's help text.
const about = `Send requests as a caller, and look after a site as an operator.

Callers need --addr and --token, operators --operator-addr and --token; each has
an environment variable. Try "mangoledge addresses" or "mangoledge show nodes".

Exit codes: 0 whole answer or accepted; 1 no answer; 2 wrong use or bad input;
3 not run; 4 may have run; 5 ran and failed; 6 change refused; 7 conflict;
8 outcome unknown; 9 not allowed.`

// Run runs the command line and returns its exit code.
func Run(arguments []string, streams Streams) (code int) {
	defer func() {
		if r := recover(); r != nil {
			exited, ok := r.(kingpinExit)
			if !ok {
				panic(r)
			}
			code = exited.code
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

// newApp returns an app with all commands and flags.
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
	a.kingpin.Terminate(func(code int) { panic(kingpinExit{code: code}) })
	a.kingpin.HelpFlag.Short('h')
	a.connection.addFlags(a.kingpin)
	a.kingpin.Flag("output", "Form of the output: table or json.").Short('o').Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	a.addCallerCommands()
	a.addOperatorCommands()
	a.addLogsCommand()
	a.addExplainRouteCommand()
	a.addVersionCommand()
	return a
}

// addCommand adds a command that calls run.
func (a *app) addCommand(name, help string, run func(ctx context.Context) (ExitCode, error)) *kingpin.CmdClause {
	a.commands[name] = run
	return a.kingpin.Command(name, help)
}

// addCallerCommands adds the commands of callers.
func (a *app) addCallerCommands() {
	a.addAddressesCommand()
	a.addSendCommand()
	a.addFetchCommand()
	a.addResumeCommand()
	a.addCancelCommand()
}

// addOperatorCommands adds a command for each verb of the operators' language.
func (a *app) addOperatorCommands() {
	for _, verb := range operatorVerbs {
		a.addOperatorCommand(verb, tables.Schema())
	}
}

// addVersionCommand adds the command that prints the program's version.
func (a *app) addVersionCommand() {
	a.addCommand("version", "Show the version of this program.", func(context.Context) (ExitCode, error) {
		_, err := fmt.Fprintln(a.streams.Out, "mangoledge", version.Version)
		return ExitOK, err
	})
}
