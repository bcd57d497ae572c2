package site

import "time"

// Settings are what a process on the platform is told at its start.
type Settings struct {
	Node          string
	FailureDomain string
	Region        string
	IP            string
	// Serves tells the roles of the process towards the outside.
	ServesClients   bool
	ServesDirectory bool
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	Listen     Listen
	// PeerPorts is the range of ports for traffic between nodes, both included.
	PeerPorts [2]int
	// Seeds are control addresses of a few nodes; they may be stale.
	Seeds  []string
	Bounds Bounds
	Store  StoreSettings
	Cloud  CloudSettings
	// MemoryMB is the memory limit of the process; 0 for none.
	MemoryMB int
	// LinkMbps is the speed of the host's link; 0 when it is not told.
	LinkMbps float64
	// UpstreamHeartbeat is how often an upstream renews its entry.
	UpstreamHeartbeat time.Duration
}

// Listen holds the addresses of the process; an empty one is not served.
type Listen struct {
	Front     string
	Readiness string
	Control   string
	Directory string
	Metrics   string
}

// Bounds are the figures of the promises that the platform's users rely on.
type Bounds struct {
	// ConfigInForce is the time within which a configuration must be in force.
	ConfigInForce time.Duration
	// Drain is for how long a draining upstream surely serves on.
	Drain time.Duration
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// RetryShare and RetryReserve bound repeats of a service within RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// QuotaWindow and QuotaSlack bound how far a workspace may exceed its quota.
	QuotaWindow time.Duration
	QuotaSlack  float64
	// Lease is how long a duty stays with its holder without a renewal.
	Lease time.Duration
	// UsageWindow is the length of one window of the usage report; UsageLate is how long after its end it is due.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// MaxDirectoryTTL is the longest time that a directory answer is kept.
	MaxDirectoryTTL time.Duration
	// AddressReuse is after how long the address of an ended upstream may name another.
	AddressReuse time.Duration
}

// StoreSettings say how the platform's store is reached.
type StoreSettings struct {
	Address    string
	ValueBytes int
}

// CloudSettings say how the platform's cloud API is reached.
type CloudSettings struct {
	Address string
	// ReportsUsage and Scales tell which duties the deployment has.
	ReportsUsage bool
	Scales       bool
	// CallsPerSecond bounds the duty calls of all nodes together.
	CallsPerSecond float64
}
