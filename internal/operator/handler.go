package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"mangoledge.example/mangoledge/api/operatorapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/tables"
	"mangoledge.example/mangoledge/internal/verdict"
)

// maxBodyBytes is the largest request body of the operator API, in bytes.
const maxBodyBytes = 64 << 10

// Handler serves the operator API.
type Handler struct {
	runner *Runner
	tokens *auth.Tokens
}

var (
	_ operatorapi.Handler         = (*Handler)(nil)
	_ operatorapi.SecurityHandler = (*Handler)(nil)
)

// NewHandler returns the HTTP handler of the operator API.
func NewHandler(runner *Runner, tokens *auth.Tokens) (http.Handler, error) {
	h := &Handler{runner: runner, tokens: tokens}
	server, err := operatorapi.NewServer(h, h, operatorapi.WithErrorHandler(h.handleError))
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		server.ServeHTTP(w, r)
	}), nil
}

// operatorNameKey is the context key for the name of the operator's token.
type operatorNameKey struct{}

// HandleOperatorToken refuses tokens without the operator role and stores the token's
// name in the returned context.
func (h *Handler) HandleOperatorToken(ctx context.Context, _ operatorapi.OperationName, token operatorapi.OperatorToken) (context.Context, error) {
	principal, refusal := h.tokens.RequireRole(token.Token, settings.RoleOperator)
	if refusal != nil {
		return ctx, refusal
	}
	return context.WithValue(ctx, operatorNameKey{}, principal.Name), nil
}

// RunCommand runs one command.
func (h *Handler) RunCommand(ctx context.Context, in *operatorapi.Command) (*operatorapi.CommandResult, error) {
	operatorName, _ := ctx.Value(operatorNameKey{}).(string)
	result, err := h.runner.Run(ctx, Command{
		Text:         in.Command,
		Change:       ident.Change(in.ChangeId.Or("")),
		BaseVersion:  uint64(in.BaseVersion.Or(0)),
		OperatorName: operatorName,
	})
	if err != nil {
		return nil, err
	}
	return toAPI(result, in.Format.Or(operatorapi.CommandFormatTable)), nil
}

// DumpState returns the node's state as JSON.
func (h *Handler) DumpState(context.Context) (jx.Raw, error) {
	if h.runner.options.Dumper == nil {
		return nil, ErrNotAvailable
	}
	return dumpJSON(h.runner.options.Dumper)
}

// toAPI converts a result. In JSON format, it leaves out the text of commands that return
// rows and change nothing.
func toAPI(result *Result, format operatorapi.CommandFormat) *operatorapi.CommandResult {
	out := &operatorapi.CommandResult{
		Columns:  []operatorapi.Column{},
		Rows:     FormatRows(result.Rows),
		ChangeId: string(result.Change),
		Outcome:  operatorapi.CommandResultOutcome(result.Decision.Outcome),
	}
	if format == operatorapi.CommandFormatTable || result.Change != "" || len(result.Columns) == 0 {
		out.Text = result.Text
	}
	for _, column := range result.Columns {
		out.Columns = append(out.Columns, operatorapi.Column{Name: column.Name, Type: columnType(column.Type), Doc: column.Doc})
	}
	if result.Decision.Version > 0 {
		out.Version = operatorapi.NewOptInt64(int64(result.Decision.Version))
	}
	for _, conflicting := range result.Decision.ConflictingChanges {
		out.Won = append(out.Won, operatorapi.Winner{ChangeId: string(conflicting.Change), Version: int64(conflicting.Version), Summary: conflicting.Summary})
	}
	return out
}

// columnType converts a column type; lists are text.
func columnType(t query.Type) operatorapi.ColumnType {
	switch t {
	case query.TypeNumber:
		return operatorapi.ColumnTypeNumber
	case query.TypeBool:
		return operatorapi.ColumnTypeBool
	case query.TypeText, query.TypeList:
	}
	return operatorapi.ColumnTypeText
}

// NewError converts an error to an API response with its HTTP status.
func (h *Handler) NewError(_ context.Context, err error) *operatorapi.RefusedStatusCode {
	out := &operatorapi.RefusedStatusCode{StatusCode: http.StatusInternalServerError}
	out.Response.Code = operatorapi.CommandErrorCodeInternal
	out.Response.Message = err.Error()
	var commandErr *query.Error
	var refusal *verdict.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &commandErr):
		out.StatusCode = http.StatusBadRequest
		out.Response.Code = operatorapi.CommandErrorCodeBadCommand
		out.Response.Column = operatorapi.NewOptInt(commandErr.Column)
		out.Response.Found = operatorapi.NewOptString(commandErr.Found)
		out.Response.Expected = operatorapi.NewOptString(commandErr.Expected)
	case errors.As(err, &refusal) && refusal.Code == verdict.CodeForbidden:
		out.StatusCode = http.StatusForbidden
		out.Response.Code = operatorapi.CommandErrorCodeForbidden
		out.Response.Message = refusal.Message
	case errors.As(err, &refusal) && refusal.Code == verdict.CodeUnauthorized, errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied):
		out.StatusCode = http.StatusUnauthorized
		out.Response.Code = operatorapi.CommandErrorCodeUnauthorized
		out.Response.Message = "an operator's token is needed: Authorization: Bearer <token>"
	case errors.Is(err, ErrNotAvailable), errors.Is(err, tables.ErrNoSource):
		out.StatusCode = http.StatusNotImplemented
		out.Response.Code = operatorapi.CommandErrorCodeNotAvailable
	case errors.As(err, &tooLarge):
		out.StatusCode = http.StatusRequestEntityTooLarge
		out.Response.Code = operatorapi.CommandErrorCodeBadInput
	case isBadInput(err):
		out.StatusCode = http.StatusBadRequest
		out.Response.Code = operatorapi.CommandErrorCodeBadInput
	}
	return out
}

// isBadInput reports whether err means that the request could not be decoded.
func isBadInput(err error) bool {
	var request *ogenerrors.DecodeRequestError
	var params *ogenerrors.DecodeParamsError
	return errors.As(err, &request) || errors.As(err, &params)
}

// handleError answers errors that occur before a handler is called.
func (h *Handler) handleError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	out := h.NewError(ctx, err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(out.StatusCode)
	data, encodeErr := out.Response.MarshalJSON()
	if encodeErr == nil {
		_, _ = w.Write(data)
	}
}
