package demo

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// The model and the services of the demo.
const (
	modelName       ident.Model   = "site-model"
	bayService      ident.Service = "bays"
	dockService     ident.Service = "docks"
	evidenceService ident.Service = "evidence"
)

// The workspaces of the demo.
const (
	cascadia ident.Workspace = "cascadia"
	laoruum  ident.Workspace = "laoruum"
)

// kind is one kind of request that users send.
type kind struct {
	name      ident.Kind
	workspace ident.Workspace
	// service is empty for a request to the model.
	service       ident.Service
	stream        bool
	nonIdempotent bool
	tokens        int
	deadline      time.Duration
	priority      int
	// count is the number of requests of the kind that the demo sends.
	count int
}

// kinds returns the kinds of requests that the demo sends.
func kinds() []kind {
	return []kind{
		{name: "draft", workspace: cascadia, tokens: 240, deadline: 30 * time.Second, priority: 3, count: 16},
		{name: "quick-question", workspace: cascadia, tokens: 24, deadline: 8 * time.Second, priority: 6, count: 40},
		{name: "live-checklist", workspace: cascadia, stream: true, tokens: 160, deadline: 25 * time.Second, priority: 8, count: 24},
		{name: "evidence-upload", workspace: cascadia, service: evidenceService, nonIdempotent: true, deadline: 10 * time.Second, priority: 6, count: 30},
		{name: "appraisal", workspace: laoruum, tokens: 200, deadline: 30 * time.Second, priority: 4, count: 16},
		{name: "tenancy-summary", workspace: laoruum, stream: true, tokens: 200, deadline: 30 * time.Second, priority: 3, count: 16},
		{name: "chat", workspace: laoruum, stream: true, tokens: 60, deadline: 12 * time.Second, priority: 7, count: 40},
		{name: "bay-lookup", workspace: laoruum, service: bayService, deadline: 8 * time.Second, priority: 6, count: 40},
		{name: "dock-hold", workspace: laoruum, service: dockService, nonIdempotent: true, deadline: 10 * time.Second, priority: 8, count: 30},
	}
}

// submission returns a request of kind k with the given input.
func (k *kind) submission(input string) callerapi.Submission {
	out := callerapi.Submission{
		Kind:       string(k.name),
		Input:      input,
		DeadlineMs: k.deadline.Milliseconds(),
		Priority:   callerapi.NewOptInt(k.priority),
		Idempotent: callerapi.NewOptBool(!k.nonIdempotent),
		Stream:     callerapi.NewOptBool(k.stream),
	}
	if k.service != "" {
		out.Service = callerapi.NewOptString(string(k.service))
		return out
	}
	out.Model = callerapi.NewOptString(string(modelName))
	out.MaxTokens = callerapi.NewOptInt(k.tokens)
	return out
}
