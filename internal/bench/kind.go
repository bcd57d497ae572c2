package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// kind is a kind of work of the users.
type kind struct {
	name ident.Kind
	// service is true for calls of the plain service.
	service    bool
	idempotent bool
	// shared and own are the prompt's tokens that a workspace's requests share and those that they don't.
	shared, own int
	// output is the mean number of tokens of an answer.
	output   int
	deadline time.Duration
	worth    float64
	priority request.Priority
	// part is its part of all requests.
	part float64
}

// cascadiaKinds are the kinds of the factory audits.
var cascadiaKinds = []kind{
	{name: "draft", idempotent: true, shared: 3072, own: 700, output: 240, deadline: 25 * time.Second, worth: 6, priority: 4, part: 0.22},
	{name: "question", idempotent: true, shared: 768, own: 200, output: 70, deadline: 8 * time.Second, worth: 2, priority: 5, part: 0.33},
	{name: "checklist", idempotent: true, shared: 1024, own: 250, output: 110, deadline: 10 * time.Second, worth: 4, priority: 8, part: 0.30},
	{name: "upload", service: true, output: 1, deadline: 5 * time.Second, worth: 3, priority: 7, part: 0.15},
}

// laoruumKinds are the kinds of the warehouse listings.
var laoruumKinds = []kind{
	{name: "appraisal", idempotent: true, shared: 2048, own: 600, output: 200, deadline: 20 * time.Second, worth: 5, priority: 6, part: 0.22},
	{name: "summary", idempotent: true, shared: 1536, own: 1200, output: 160, deadline: 20 * time.Second, worth: 4, priority: 4, part: 0.20},
	{name: "chat", idempotent: true, shared: 768, own: 250, output: 80, deadline: 8 * time.Second, worth: 1, priority: 5, part: 0.30},
	{name: "lookup", service: true, idempotent: true, output: 1, deadline: 3 * time.Second, worth: 0.5, priority: 5, part: 0.18},
	{name: "hold", service: true, output: 1, deadline: 4 * time.Second, worth: 3, priority: 8, part: 0.10},
}

// topics is how many different shared prefixes each workspace and kind has.
const topics = 12
