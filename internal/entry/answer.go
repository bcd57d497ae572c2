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

// checkModel checks that the site runs model.
func checkModel(models []config.Model, model ident.Model) error {
	for i := range models {
		if models[i].Name == model {
			return nil
		}
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeUnknownModel, Field: "model", Message: "no such model: " + string(model)}
}

// answerOf is the answer of a finished record.
func answerOf(record *request.Record) callerapi.Answer {
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

// fold follows a request to its end and makes the whole answer.
func fold(ctx context.Context, attachment dispatch.Attachment, position *dispatch.Position) (*callerapi.Answer, error) {
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
			failure = errMoved()
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

// errMoved sends a caller to another address with the same ID.
func errMoved() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeNodeLost, "the request goes on at another node: send the same ID to another address").WithRetryAfter(comeBackAtOnce)
}
