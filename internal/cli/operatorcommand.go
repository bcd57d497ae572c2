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

// operatorVerb is a command for one verb of the operators' language.
type operatorVerb struct {
	name, help string
	// changes is true if the verb changes something.
	changes bool
}

// operatorVerbs holds the verbs of the operators' language.
var operatorVerbs = []operatorVerb{
	{name: "show", help: "Show a table: show <table> [where <column> <op> <value> [and ...]] [sort by <column> [desc]] [limit <n>]. Quote < and > for the shell."},
	{name: "explain", help: "Tell what was decided, by which node and from which inputs: explain request|upstream|host|model|change <id>."},
	{name: "set", help: "Declare or change an object: set <object> <name> <key>=<value> ...", changes: true},
	{name: "drain", help: "Empty something by plan, cutting nothing off: drain host|node|upstream <id>.", changes: true},
	{name: "clear", help: "Take back what the system has noted, or remove an object: clear poison|leaving|drain|model|service|workspace|kind|capacity <id>.", changes: true},
	{name: "dump", help: "Show the whole state of one node as JSON."},
}

// changeFlags are the flags of verbs that change something.
type changeFlags struct {
	change string
	base   int64
}

// addOperatorCommand adds the command for verb.
func (a *app) addOperatorCommand(verb operatorVerb, schema query.Schema) {
	var words []string
	flags := new(changeFlags)
	c := a.addCommand(verb.name, verb.help, func(ctx context.Context) (ExitCode, error) {
		return a.runOperatorCommand(ctx, schema, verb, words, flags)
	})
	if verb.name != "dump" {
		c.Arg("words", "The rest of the command.").HintAction(func() []string { return a.completions(schema) }).StringsVar(&words)
	}
	if verb.changes {
		c.Flag("change-id", "ID of the change; made and shown when not given. Give it to send a command again.").StringVar(&flags.change)
		c.Flag("base-version", "Version that the change was made from. A newer one is then a conflict.").Int64Var(&flags.base)
	}
}

// completions returns the words that may stand in place of the last argument.
func (a *app) completions(schema query.Schema) []string {
	words := a.arguments
	for len(words) > 0 && strings.HasPrefix(words[0], "-") {
		words = words[1:]
	}
	if len(words) == 0 {
		return nil
	}
	return schema.Complete(strings.Join(words[:len(words)-1], " ") + " ")
}

// runOperatorCommand checks a command before sending it, so that errors are reported without
// a node, and has a node run it.
func (a *app) runOperatorCommand(ctx context.Context, schema query.Schema, verb operatorVerb, words []string, flags *changeFlags) (ExitCode, error) {
	text := strings.Join(append([]string{verb.name}, words...), " ")
	if _, err := query.Parse(text, schema); err != nil {
		var located *query.Error
		if errors.As(err, &located) {
			a.printStatus("%s", located.Annotate(text))
			return ExitUsage, nil
		}
		return ExitUsage, err
	}
	in := &operatorapi.Command{Command: text, Format: operatorapi.NewOptCommandFormat(operatorapi.CommandFormat(a.output))}
	if verb.changes {
		a.setChangeID(in, flags)
	}
	result, err := a.runOnAnyNode(ctx, in, verb)
	var refused *operatorapi.RefusedStatusCode
	if errors.As(err, &refused) {
		return exitCodeOfCommandError(refused.Response.Code), errors.Newf("%s: %s", refused.Response.Code, refused.Response.Message)
	}
	if err != nil {
		return exitCodeWithoutAnswer(err, verb), err
	}
	return exitCodeOfOutcome(result.Outcome), a.printResult(result)
}

// setChangeID sets the change ID, which it generates if none is given, and prints it before
// anything is sent. It also sets the base version.
func (a *app) setChangeID(in *operatorapi.Command, flags *changeFlags) {
	if flags.change == "" {
		flags.change = "c-" + strings.ToLower(rand.Text())
	}
	in.ChangeId = operatorapi.NewOptString(flags.change)
	if flags.base > 0 {
		in.BaseVersion = operatorapi.NewOptInt64(flags.base)
	}
	a.printStatus("change %s", flags.change)
}

const (
	// minChangeTimeout is a little more than the time after which a node reports an outcome as
	// unknown.
	minChangeTimeout = 12 * time.Second
	// maxReadTimeout limits the time that one node may take for a command that changes nothing.
	maxReadTimeout = 5 * time.Second
)

// errOutcomeUnknown marks errors after which it is not known whether the command was run.
var errOutcomeUnknown = errors.New("no answer from the node")

// runOnAnyNode has the first node that answers run the command. If a node does not
// answer, the next one gets the command with the same change ID.
func (a *app) runOnAnyNode(ctx context.Context, in *operatorapi.Command, verb operatorVerb) (*operatorapi.CommandResult, error) {
	transport, err := a.connection.transport()
	if err != nil {
		return nil, err
	}
	defer transport.CloseIdleConnections()
	err = errors.New("--operator-addr is empty")
	mayHaveRun := false
	addresses := urls(a.connection.operatorAddr)
	client := &http.Client{Transport: transport, Timeout: a.nodeTimeout(len(addresses), verb)}
	for _, address := range addresses {
		var result *operatorapi.CommandResult
		result, err = a.runOnNode(ctx, client, address, in)
		var refused *operatorapi.RefusedStatusCode
		if err == nil || errors.As(err, &refused) {
			return result, err
		}
		mayHaveRun = mayHaveRun || !isDialError(err)
		a.printStatus("%s: %v", address, err)
	}
	if mayHaveRun && verb.changes {
		return nil, errors.Mark(errors.Wrapf(err, "the outcome is unknown; send it again with --change-id %s", in.ChangeId.Value), errOutcomeUnknown)
	}
	return nil, err
}

// nodeTimeout returns the time that one of several nodes may take. For a change, it is at
// least minChangeTimeout, as a node may have to wait for a slow store; for a command that
// changes nothing, it is at most maxReadTimeout, as another node may answer sooner.
func (a *app) nodeTimeout(nodes int, verb operatorVerb) time.Duration {
	share := a.connection.timeout / time.Duration(max(nodes, 1))
	if verb.changes {
		return min(max(share, minChangeTimeout), a.connection.timeout)
	}
	return min(share, maxReadTimeout)
}

// runOnNode has the node at address run the command.
func (a *app) runOnNode(ctx context.Context, client *http.Client, address string, in *operatorapi.Command) (*operatorapi.CommandResult, error) {
	api, err := operatorapi.NewClient(address, bearerToken(a.connection.token), operatorapi.WithClient(client))
	if err != nil {
		return nil, err
	}
	return api.RunCommand(ctx, in)
}

// isDialError reports whether err means that no connection was opened, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// exitCodeWithoutAnswer returns the exit code for a command that no node answered.
func exitCodeWithoutAnswer(err error, verb operatorVerb) ExitCode {
	if verb.changes && errors.Is(err, errOutcomeUnknown) {
		return ExitUnknown
	}
	return ExitNoAnswer
}

// printResult prints the result of an operator's command in the chosen form.
func (a *app) printResult(result *operatorapi.CommandResult) error {
	if !a.jsonOutput() || (result.ChangeId == "" && len(result.Columns) == 0) {
		_, err := fmt.Fprint(a.streams.Out, result.Text)
		return err
	}
	if result.ChangeId != "" {
		return a.printJSON(result)
	}
	return a.printJSON(rowsOf(result))
}

// bearerToken is a token in the form that the generated client requires.
type bearerToken string

// OperatorToken returns the token.
func (b bearerToken) OperatorToken(context.Context, operatorapi.OperationName) (operatorapi.OperatorToken, error) {
	return operatorapi.OperatorToken{Token: string(b)}, nil
}
