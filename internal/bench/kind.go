package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// kind is a kind of request with its sizes and its value.
type kind struct {
	name ident.Kind
	// service is true for requests to the plain service, false for requests to a model.
	service    bool
	idempotent bool
	// sharedTokens is the length of the prefix that the prompts of a workspace and topic
	// share, uniqueTokens the mean length of the rest of a prompt.
	sharedTokens, uniqueTokens int
	// outputTokens is the mean number of tokens of an answer.
	outputTokens int
	// deadline is the time from a request's arrival to its deadline.
	deadline time.Duration
	// worth is the value of an answer in time, by which goodput is weighted.
	worth    float64
	priority request.Priority
	// fraction is the fraction of all requests that are of this kind.
	fraction float64
}

// cascadiaKinds are the kinds of request of the factory audits.
var cascadiaKinds = []kind{
	{name: "draft", idempotent: true, sharedTokens: 3072, uniqueTokens: 700, outputTokens: 240, deadline: 25 * time.Second, worth: 6, priority: 4, fraction: 0.22},
	{name: "question", idempotent: true, sharedTokens: 768, uniqueTokens: 200, outputTokens: 70, deadline: 8 * time.Second, worth: 2, priority: 5, fraction: 0.33},
	{name: "checklist", idempotent: true, sharedTokens: 1024, uniqueTokens: 250, outputTokens: 110, deadline: 10 * time.Second, worth: 4, priority: 8, fraction: 0.30},
	{name: "upload", service: true, outputTokens: 1, deadline: 5 * time.Second, worth: 3, priority: 7, fraction: 0.15},
}

// laoruumKinds are the kinds of request of the warehouse listings.
var laoruumKinds = []kind{
	{name: "appraisal", idempotent: true, sharedTokens: 2048, uniqueTokens: 600, outputTokens: 200, deadline: 20 * time.Second, worth: 5, priority: 6, fraction: 0.22},
	{name: "summary", idempotent: true, sharedTokens: 1536, uniqueTokens: 1200, outputTokens: 160, deadline: 20 * time.Second, worth: 4, priority: 4, fraction: 0.20},
	{name: "chat", idempotent: true, sharedTokens: 768, uniqueTokens: 250, outputTokens: 80, deadline: 8 * time.Second, worth: 1, priority: 5, fraction: 0.30},
	{name: "lookup", service: true, idempotent: true, outputTokens: 1, deadline: 3 * time.Second, worth: 0.5, priority: 5, fraction: 0.18},
	{name: "hold", service: true, outputTokens: 1, deadline: 4 * time.Second, worth: 3, priority: 8, fraction: 0.10},
}

// topicCount is how many different shared prefixes each workspace has for each kind.
const topicCount = 12
