package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"mangoledge.example/mangoledge/internal/verdict"
)

// handleError answers requests that the generated code could not decode.
func (s *Server) handleError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	refusal := toInputError(err)
	out := toRefusal(refusal)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(httpStatus(refusal.Code))
	data, jsonErr := out.MarshalJSON()
	if jsonErr != nil {
		return
	}
	_, _ = w.Write(data)
}

// toInputError converts a decoding, validation or authentication error to a verdict.Error
// that names the field at fault where there is one.
func toInputError(err error) *verdict.Error {
	var own *verdict.Error
	if errors.As(err, &own) {
		return own
	}
	if errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "send a token as \"Authorization: Bearer <token>\"")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeTooLarge, Field: "body", Message: tooLarge.Error()}
	}
	var invalid *validate.Error
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		return verdict.BadInput(invalid.Fields[0].Name, "%v", invalid.Fields[0].Error)
	}
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return verdict.BadInput(param.Name, "%v", param.Err)
	}
	return verdict.BadInput(fieldFromMessage(err.Error()), "%v", err)
}

// fieldFromMessage extracts the field from a decoding error such as `decode field "kind"`; it
// returns "body" if the error names none.
func fieldFromMessage(message string) string {
	_, rest, ok := strings.Cut(message, `field "`)
	if !ok {
		return "body"
	}
	name, _, ok := strings.Cut(rest, `"`)
	if !ok {
		return "body"
	}
	return name
}
