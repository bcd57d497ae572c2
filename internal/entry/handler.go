package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Handler implements the caller API.
type Handler struct {
	dispatcher Dispatcher
	book       AddressProvider
	config     config.View
	now        func() time.Time
}

var _ callerapi.Handler = (*Handler)(nil)

// NewHandler returns a Handler that submits requests to dispatcher and checks them against site.
func NewHandler(dispatcher Dispatcher, book AddressProvider, site config.View) *Handler {
	return &Handler{dispatcher: dispatcher, book: book, config: site, now: time.Now}
}

// GetAddresses returns the addresses to use.
func (h *Handler) GetAddresses(context.Context) (*callerapi.AddressBook, error) {
	return h.book.Addresses()
}

// SubmitRequest submits a request and returns the complete answer or a stream of events.
func (h *Handler) SubmitRequest(ctx context.Context, in *callerapi.Submission) (callerapi.SubmitRequestRes, error) {
	sub, err := h.toSubmission(principalOf(ctx), in)
	if err != nil {
		return nil, err
	}
	if body := bodyOf(ctx); body != nil && body.body != nil {
		body.decoded()
		sub.Memory = body.body
	}
	attachment, err := h.dispatcher.Submit(ctx, *sub)
	if err != nil {
		return nil, err
	}
	if sub.Spec.Stream {
		return &callerapi.SubmitRequestOKTextEventStream{Data: newEventStream(ctx, attachment)}, nil
	}
	defer attachment.Close()
	return collectAnswer(ctx, attachment, &sub.Position)
}

// ResumeStream continues the stream of a request from the given position.
func (h *Handler) ResumeStream(ctx context.Context, params callerapi.ResumeStreamParams) (callerapi.ResumeStreamOK, error) {
	id, err := parseID(params.ID)
	if err != nil {
		return callerapi.ResumeStreamOK{}, err
	}
	attachment, err := h.dispatcher.Resume(ctx, dispatch.Resumption{
		ID:        id,
		Workspace: principalOf(ctx).Workspace,
		Position: dispatch.Position{
			Generation: ident.Generation(params.Generation.Or("")),
			Offset:     params.Offset.Or(0),
		},
	})
	if err != nil {
		return callerapi.ResumeStreamOK{}, err
	}
	return callerapi.ResumeStreamOK{Data: newEventStream(ctx, attachment)}, nil
}

// FetchAnswer returns the state of a request.
func (h *Handler) FetchAnswer(ctx context.Context, params callerapi.FetchAnswerParams) (*callerapi.RequestState, error) {
	id, err := parseID(params.ID)
	if err != nil {
		return nil, err
	}
	record, err := h.dispatcher.Fetch(ctx, id, principalOf(ctx).Workspace)
	if err != nil {
		return nil, err
	}
	return toRequestState(record), nil
}

// CancelRequest cancels a request.
func (h *Handler) CancelRequest(ctx context.Context, params callerapi.CancelRequestParams) (*callerapi.RequestState, error) {
	id, err := parseID(params.ID)
	if err != nil {
		return nil, err
	}
	record, err := h.dispatcher.Cancel(ctx, id, principalOf(ctx).Workspace)
	if err != nil {
		return nil, err
	}
	return toRequestState(record), nil
}

// NewError converts an error to a response. Unless the request ran, the response has a new
// request-ID prefix for the next send.
func (h *Handler) NewError(_ context.Context, err error) *callerapi.RefusedStatusCode {
	cause := verdict.From(err)
	if errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied) {
		cause = toInputError(err)
	}
	refusal := toRefusal(cause)
	if refusal.Verdict != callerapi.RefusalVerdictRan {
		refusal.RequestIdPrefix = callerapi.NewOptString(h.book.Prefix())
	}
	return &callerapi.RefusedStatusCode{StatusCode: httpStatus(cause.Code), Response: refusal}
}

// securityHandler authenticates callers by their tokens.
type securityHandler struct {
	tokens *auth.Tokens
}

// httpStatus returns the HTTP status of an error code.
func httpStatus(code verdict.Code) int {
	switch code {
	case verdict.CodeBadInput, verdict.CodeUnknownModel, verdict.CodeUnknownService:
		return http.StatusBadRequest
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeForbidden:
		return http.StatusForbidden
	case verdict.CodeUnknownRequest:
		return http.StatusNotFound
	case verdict.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.CodeOverloaded, verdict.CodeDeadlineUnlikely:
		return http.StatusTooManyRequests
	case verdict.CodeDeadline:
		return http.StatusGatewayTimeout
	case verdict.CodeUpstreamFailed, verdict.CodeNodeLost:
		return http.StatusBadGateway
	case verdict.CodeNoUpstream, verdict.CodeWitnessLost, verdict.CodeStopping, verdict.CodeStale:
		return http.StatusServiceUnavailable
	case verdict.CodeGrantTaken, verdict.CodeProgressLost, verdict.CodeGenerationChanged,
		verdict.CodePrefixExpired, verdict.CodeCancelled, verdict.CodePoison:
		return http.StatusConflict
	}
	return http.StatusInternalServerError
}
