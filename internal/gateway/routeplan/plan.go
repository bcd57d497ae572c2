package routeplan

// Decision says how the upstream is chosen.
type Decision string

const (
	// LeastCost chooses the lowest cost: the figures are as good as fresh.
	LeastCost Decision = "least_cost"
	// CachedPrompt keeps the request where its prompt is cached.
	CachedPrompt Decision = "cached_prompt"
	// Shares draws an upstream by its share of what other nodes have sent since their figures.
	Shares Decision = "shares"
	// Refused requests are not sent.
	Refused Decision = "refused"
)

// Plan says where a node would send a request now. Times are in milliseconds.
type Plan struct {
	Node          string `json:"node"`
	ConfigVersion int64  `json:"configVersion"`
	Route         string `json:"route,omitempty"`
	Kind          string `json:"kind,omitempty"`
	Service       string `json:"service,omitempty"`
	// Targets holds the shares of a split route's services, in sum 1.
	Targets  map[string]float64 `json:"targets,omitempty"`
	Decision Decision           `json:"decision"`
	// Reason is why a request would be refused.
	Reason string `json:"reason,omitempty"`
	// Nodes is the number of other nodes whose load is known, and FiguresAgeMs how old that is on
	// average.
	Nodes        int   `json:"nodes"`
	FiguresAgeMs int64 `json:"figuresAgeMs"`
	// UnseenRequests is the number of requests that the other nodes have presumably sent since, and
	// LevelMs the cost to which those have raised the cheapest upstreams.
	UnseenRequests float64 `json:"unseenRequests"`
	LevelMs        float64 `json:"levelMs,omitempty"`
	// Candidates are the upstreams of the service, the most likely first.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is one upstream of the service.
type Candidate struct {
	Upstream      string `json:"upstream"`
	FailureDomain string `json:"failureDomain"`
	// Unavailable is why the upstream is no candidate, or empty.
	Unavailable string `json:"unavailable,omitempty"`
	// Probability is the probability with which the request goes there.
	Probability float64 `json:"probability"`
	// WaitMs is the time until the upstream begins with the request, penalties included, and OwnMs
	// what the request itself then takes until its first event.
	WaitMs float64 `json:"waitMs"`
	OwnMs  float64 `json:"ownMs"`
	// UncachedTokens is the number of prompt tokens to prefill there.
	UncachedTokens int `json:"uncachedTokens"`
	// OpenHere and OpenElsewhere are the open requests of this node and of the others.
	OpenHere      int     `json:"openHere"`
	OpenElsewhere int     `json:"openElsewhere"`
	Slowdown      float64 `json:"slowdown"`
	FailureRate   float64 `json:"failureRate"`
}
