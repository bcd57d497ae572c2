package site

// Workspace is a customer's configuration: its keys, priority and quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of a route; nil if the workspace has none.
	Priority *int
	// Rate is the quota in units per second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be spent beyond the rate.
	Burst float64
	// CountsTokens is true if the quota is counted in tokens, and false if it is counted in
	// requests.
	CountsTokens bool
	// DefaultTokens is what a request without token counts is charged.
	DefaultTokens int
}
