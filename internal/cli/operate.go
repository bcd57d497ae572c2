package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/operatorapi"
	"mangoledge.example/mangoledge/internal/query"
)

// operatorVerb is one verb of the operators' language on the command line.
type operatorVerb struct {
	name, help string
	changes    bool
}

var operatorVerbs = []operatorVerb{
	{name: "show", help: "Show a table: show <table> [where <column> <op> <value> [and ...]] [sort by <column> [desc]] [limit <n>]. Quote < and > for the shell."},
	{name: "explain", help: "Tell what was decided, by which node and from which inputs: explain request|upstream|host|model|change <id>."},
	{name: "set", help: "Declare or change an object: set <object> <name> <key>=<value> ...", changes: true},
	{name: "drain", help: "Empty something by plan, cutting nothing off: drain host|node|upstream <id>.", changes: true},
	{name: "clear", help: "Take back what the system has noted, or remove an object: clear poison|leaving|drain|model|service|workspace|kind|capacity <id>.", changes: true},
	{name: "dump", help: "Show the whole state of one node as JSON."},
}

// changeFlags come with verbs that change something.
type changeFlags struct {
	change string
	base   int64
}

func (a *app) operatorCommand(verb operatorVerb, schema query.Schema) {
	var words []string
	flags := new(changeFlags)
	c := a.command(verb.name, verb.help, func(ctx context.Context) (ExitCode, error) {
		return a.operate(ctx, schema, verb, words, flags)
	})
	if verb.name != "dump" {
		c.Arg("words", "The rest of the command.").HintAction(func() []string { return a.hints(schema) }).StringsVar(&words)
	}
	if verb.changes {
		c.Flag("change-id", "ID of the change; made and shown when not given. Give it to send a command again.").StringVar(&flags.change)
		c.Flag("base-version", "Version that the change was made from. A newer one is then a conflict.").Int64Var(&flags.base)
	}
}

// hints completes the last word on the command line.
func (a *app) hints(schema query.Schema) []string {
	words := a.arguments
	for len(words) > 0 && strings.HasPrefix(words[0], "-") {
		words = words[1:]
	}
	if len(words) == 0 {
		return nil
	}
	return schema.Complete(strings.Join(words[:len(words)-1], " ") + " ")
}

// operate checks a command here, so that errors show at once, and has a node run it.
func (a *app) operate(ctx context.Context, schema query.Schema, verb operatorVerb, words []string, flags *changeFlags) (ExitCode, error) {
	text := strings.Join(append([]string{verb.name}, words...), " ")
	if _, err := query.Parse(text, schema); err != nil {
		var located *query.Error
		if errors.As(err, &located) {
			a.say("%s", located.Point(text))
			return ExitUsage, nil
		}
		return ExitUsage, err
	}
	in := &operatorapi.Command{Command: text, Format: operatorapi.NewOptCommandFormat(operatorapi.CommandFormat(a.output))}
	if verb.changes {
		a.nameChange(in, flags)
	}
	result, err := a.runAnywhere(ctx, in, verb)
	var refused *operatorapi.RefusedStatusCode
	if errors.As(err, &refused) {
		return exitOfCommandError(refused.Response.Code), errors.Newf("%s: %s", refused.Response.Code, refused.Response.Message)
	}
	if err != nil {
		return exitOfOperatorError(err, verb), err
	}
	return exitOfOutcome(result.Outcome), a.printResult(result)
}

// nameChange gives the change its ID and shows it before anything is sent.
func (a *app) nameChange(in *operatorapi.Command, flags *changeFlags) {
	if flags.change == "" {
		flags.change = "c-" + strings.ToLower(rand.Text())
	}
	in.ChangeId = operatorapi.NewOptString(flags.change)
	if flags.base > 0 {
		in.BaseVersion = operatorapi.NewOptInt64(flags.base)
	}
	a.say("change %s", flags.change)
}

const (
	// timeToSettle is a little more than a node takes before it says that an outcome is unknown.
	timeToSettle = 12 * time.Second
	// timeToShow is how long one node may take to show something.
	timeToShow = 5 * time.Second
)

// errLost marks an error after which nobody here can tell whether the command was run.
var errLost = errors.New("no answer from the node")

// runAnywhere has the first node that answers run the command. A command that
// was lost on the way goes to the next node with the same change ID.
func (a *app) runAnywhere(ctx context.Context, in *operatorapi.Command, verb operatorVerb) (*operatorapi.CommandResult, error) {
	transport, err := a.connect.transport()
	if err != nil {
		return nil, err
	}
	defer transport.CloseIdleConnections()
	err = errors.New("--operator-addr is empty")
	lost := false
	addresses := urls(a.connect.operatorAddr)
	client := &http.Client{Transport: transport, Timeout: a.patience(len(addresses), verb)}
	for _, address := range addresses {
		var result *operatorapi.CommandResult
		result, err = a.runAt(ctx, client, address, in)
		var refused *operatorapi.RefusedStatusCode
		if err == nil || errors.As(err, &refused) {
			return result, err
		}
		lost = lost || !isDialError(err)
		a.say("%s: %v", address, err)
	}
	if lost && verb.changes {
		return nil, errors.Mark(errors.Wrapf(err, "the outcome is unknown; send it again with --change-id %s", in.ChangeId.Value), errLost)
	}
	return nil, err
}

// patience is how long one of several nodes may take. A node needs its time to
// settle a change with a store that is slow; whoever only looks is better off with another node.
func (a *app) patience(nodes int, verb operatorVerb) time.Duration {
	share := a.connect.timeout / time.Duration(max(nodes, 1))
	if verb.changes {
		return min(max(share, timeToSettle), a.connect.timeout)
	}
	return min(share, timeToShow)
}

func (a *app) runAt(ctx context.Context, client *http.Client, address string, in *operatorapi.Command) (*operatorapi.CommandResult, error) {
	api, err := operatorapi.NewClient(address, bearer(a.connect.token), operatorapi.WithClient(client))
	if err != nil {
		return nil, err
	}
	return api.RunCommand(ctx, in)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exitOfOperatorError is the exit code of a command that no node answered.
func exitOfOperatorError(err error, verb operatorVerb) ExitCode {
	if verb.changes && errors.Is(err, errLost) {
		return ExitUnknown
	}
	return ExitNoAnswer
}

func (a *app) printResult(result *operatorapi.CommandResult) error {
	if !a.json() || (result.ChangeId == "" && len(result.Columns) == 0) {
		_, err := fmt.Fprint(a.streams.Out, result.Text)
		return err
	}
	if result.ChangeId != "" {
		return a.printJSON(result)
	}
	return a.printJSON(rowsOf(result))
}

// bearer is a token as the generated client asks for it.
type bearer string

// OperatorToken returns the token.
func (b bearer) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: string(b)}, nil
}
