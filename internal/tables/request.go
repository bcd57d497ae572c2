package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/request"
)

// Request is a row of the table requests: a request that a node runs or has a record of.
type Request struct {
	ID         string `column:"id" doc:"the request's ID"`
	Workspace  string `column:"workspace" doc:"the caller's workspace"`
	Kind       string `column:"kind" doc:"kind of work"`
	Serves     string `column:"serves" doc:"model or plain service asked for"`
	Phase      string `column:"phase" doc:"waiting, running, done, failed or cancelled"`
	Priority   int    `column:"priority" doc:"0 to 9, 9 the most urgent"`
	Idempotent bool   `column:"idempotent" doc:"false when it must not run twice"`
	Stream     bool   `column:"stream" doc:"true when it is answered token by token"`
	Tokens     int    `column:"tokens" doc:"tokens known so far"`
	Moves      int    `column:"moves" doc:"changes of upstream or node"`
	Upstream   string `column:"upstream" doc:"where it was last sent"`
	Holder     string `column:"holder" doc:"the incarnation that runs it"`
	Deadline   string `column:"deadline" doc:"when its answer stops being of use, UTC"`
	Failure    string `column:"failure" doc:"code and verdict when it failed"`
}

// ProvideRequests fills the table requests from the records that list returns.
func ProvideRequests(r *Registry, list func() []request.Record) {
	Provide(r, func(context.Context) ([]Request, error) {
		var out []Request
		records := list()
		for i := range records {
			out = append(out, requestRow(&records[i]))
		}
		return out, nil
	})
}

// requestRow returns the row of a request.
func requestRow(record *request.Record) Request {
	spec := &record.Spec
	out := Request{
		ID: spec.ID.String(), Workspace: string(spec.Workspace), Kind: string(spec.Kind),
		Serves: string(spec.Model) + string(spec.Service), Phase: string(record.Phase),
		Priority: int(spec.Priority), Idempotent: spec.Idempotent, Stream: spec.Stream,
		Tokens: len(record.Tokens), Moves: record.Moves, Upstream: string(record.Upstream),
		Holder: string(record.Holder), Deadline: formatUTC(spec.Deadline),
	}
	if record.Failure != nil {
		out.Failure = string(record.Failure.Code) + " " + record.Failure.Verdict.String()
	}
	return out
}
