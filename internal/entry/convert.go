package entry

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Defaults of a submission, as specified in the API document.
const (
	defaultMaxTokens = 256
	defaultPriority  = 5
)

// toSubmission converts in to a dispatch.Submission after the checks that the API document
// cannot express.
func (h *Handler) toSubmission(principal auth.Principal, in *callerapi.Submission) (*dispatch.Submission, error) {
	workspace := ident.Workspace(in.Workspace.Or(string(principal.Workspace)))
	if workspace != principal.Workspace {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeForbidden, Field: "workspace", Message: "this token is of another workspace"}
	}
	id, err := h.requestID(in)
	if err != nil {
		return nil, err
	}
	if err := h.checkTarget(in); err != nil {
		return nil, err
	}
	received := len(in.Received)
	if received > 0 && in.Generation.Or("") == "" {
		return nil, verdict.BadInput("generation", "give the generation that `received` belongs to")
	}
	spec := request.Spec{
		ID:         id,
		Workspace:  workspace,
		Kind:       ident.Kind(in.Kind),
		Model:      ident.Model(in.Model.Or("")),
		Adapter:    ident.Adapter(in.Adapter.Or("")),
		Service:    ident.Service(in.Service.Or("")),
		Input:      in.Input,
		MaxTokens:  in.MaxTokens.Or(defaultMaxTokens),
		Deadline:   h.now().Add(time.Duration(in.DeadlineMs) * time.Millisecond),
		Priority:   request.Priority(in.Priority.Or(defaultPriority)), //nolint:gosec // bounded by the API document
		Idempotent: in.Idempotent.Or(true),
		Stream:     in.Stream.Or(false),
	}
	if spec.Service != "" {
		spec.MaxTokens = 0
	}
	position := dispatch.Position{Generation: ident.Generation(in.Generation.Or("")), Offset: received, Received: in.Received}
	return &dispatch.Submission{Spec: spec, Position: position}, nil
}

// requestID parses the caller's ID, or generates one if the request is idempotent.
func (h *Handler) requestID(in *callerapi.Submission) (ident.RequestID, error) {
	text, given := in.ID.Get()
	if given {
		return parseID(text)
	}
	if !in.Idempotent.Or(true) {
		return ident.RequestID{}, verdict.BadInput("id", "a request that is not idempotent needs an ID chosen before its first send: the prefix from /v1/addresses and at least 16 random characters")
	}
	return h.book.OwnID(), nil
}

// checkTarget checks that exactly one of model and service is given, that it is
// configured, and that calls of a service that must not be repeated are not idempotent.
func (h *Handler) checkTarget(in *callerapi.Submission) error {
	model := in.Model.Or("")
	service := in.Service.Or("")
	if (model == "") == (service == "") {
		return verdict.BadInput("model", "give exactly one of model and service")
	}
	site := h.config.Current()
	if site == nil {
		return verdict.New(verdict.NotRun, verdict.CodeStale, "this node has no configuration yet").WithRetryAfter(time.Second)
	}
	if model != "" {
		return checkModel(site.Models, ident.Model(model))
	}
	for i := range site.Services {
		if site.Services[i].Name != ident.Service(service) {
			continue
		}
		if !site.Services[i].Repeatable && in.Idempotent.Or(true) {
			return verdict.BadInput("idempotent", "calls of %s must not be repeated: send idempotent false", service)
		}
		return nil
	}
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeUnknownService, Field: "service", Message: "no such service: " + service}
}

func parseID(text string) (ident.RequestID, error) {
	id, err := ident.ParseRequestID(text)
	if err != nil {
		return ident.RequestID{}, verdict.BadInput("id", "%v", err)
	}
	return id, nil
}

// toRequestState converts a record to the request state of the caller API.
func toRequestState(record *request.Record) *callerapi.RequestState {
	out := &callerapi.RequestState{
		ID:     record.Spec.ID.String(),
		Phase:  callerapi.RequestStatePhase(record.Phase),
		Tokens: callerapi.NewOptInt(len(record.Tokens)),
	}
	if record.Phase == request.PhaseDone {
		out.Answer = callerapi.NewOptAnswer(toAnswer(record))
	}
	if record.Failure != nil {
		out.Refusal = callerapi.NewOptRefusal(toRefusal(record.Failure))
	}
	return out
}

// toRefusal converts an error to the refusal of the caller API.
func toRefusal(e *verdict.Error) callerapi.Refusal {
	out := callerapi.Refusal{
		Verdict: callerapi.RefusalVerdict(e.Verdict.String()),
		Code:    string(e.Code),
		Message: e.Message,
	}
	if e.Field != "" {
		out.Field = callerapi.NewOptString(e.Field)
	}
	if e.RetryAfter > 0 {
		out.RetryAfterMs = callerapi.NewOptInt64(max(1, e.RetryAfter.Milliseconds()))
	}
	return out
}
