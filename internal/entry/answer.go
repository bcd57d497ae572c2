package entry

import (
	"context"
	"strings"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// checkModel returns an error unless model is configured for the site.
func checkModel(models []config.Model, model ident.Model) error {
	for i := range models {
		if models[i].Name == model {
			return nil
		}
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeUnknownModel, Field: "model", Message: "no such model: " + string(model)}
}

// toAnswer converts a finished record to the answer of the caller API.
func toAnswer(record *request.Record) callerapi.Answer {
	output := record.Output
	if record.Spec.Service == "" {
		output = strings.Join(record.Tokens, "")
	}
	return callerapi.Answer{
		ID:         record.Spec.ID.String(),
		Generation: string(record.Generation),
		Output:     output,
		Tokens:     len(record.Tokens),
		Moves:      record.Moves,
	}
}

// collectAnswer follows a request to its end and returns the complete answer, including the
// tokens in position that the caller already has.
func collectAnswer(ctx context.Context, attachment dispatch.Attachment, position *dispatch.Position) (*callerapi.Answer, error) {
	answer := new(callerapi.Answer)
	var text strings.Builder
	for _, token := range position.Received {
		text.WriteString(token)
	}
	var failure error
	err := attachment.Follow(ctx, func(event dispatch.Event) error {
		switch event.Kind {
		case dispatch.EventAccepted:
			answer.ID = event.ID
			answer.Generation = string(event.Generation)
		case dispatch.EventToken:
			text.WriteString(event.Text)
		case dispatch.EventDone:
			answer.Tokens = event.Tokens
			answer.Moves = event.Moves
			answer.Output = text.String() + event.Output
		case dispatch.EventMoved:
			failure = newMovedError()
		case dispatch.EventError:
			failure = event.Failure
		case dispatch.EventHeartbeat:
		}
		return nil
	})
	if failure != nil {
		return nil, failure
	}
	return answer, err
}

// newMovedError returns the error that tells a caller to send the same ID to another address.
func newMovedError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeNodeLost, "the request goes on at another node: send the same ID to another address").WithRetryAfter(movedRetryAfter)
}
