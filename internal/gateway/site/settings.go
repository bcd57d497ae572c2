package site

import "time"

// Settings are what a process on the platform is told at its start.
type Settings struct {
	Node          string
	FailureDomain string
	Region        string
	IP            string
	// ServesClients is true for a process that takes clients' requests.
	ServesClients bool
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
	// UsageWindow is the length of one window of the usage report.
	UsageWindow time.Duration
	// MaxDirectoryTTL is the longest time that a directory answer is kept.
	MaxDirectoryTTL time.Duration
}

// StoreSettings say how the platform's store is reached.
type StoreSettings struct {
	Address string
}

// CloudSettings say how the platform's cloud API is reached.
type CloudSettings struct {
	Address string
	// ReportsUsage and Scales tell which duties the deployment has.
	ReportsUsage bool
	Scales       bool
}
