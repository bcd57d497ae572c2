package site

import "time"

// Settings are the settings that the platform passes to a process at its start.
type Settings struct {
	Node          string
	FailureDomain string
	Region        string
	IP            string
	// ServesClients is true for a process that accepts client requests.
	ServesClients bool
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	Listen     Listen
	// PeerPorts is the inclusive range of ports for traffic between nodes.
	PeerPorts [2]int
	// Seeds are the control addresses of a few nodes; they may be outdated.
	Seeds  []string
	Bounds Bounds
	// HasRollouts is true where the operator orders versions for services.
	HasRollouts bool
	Store       StoreSettings
	Cloud       CloudSettings
	// MemoryMB is the memory limit of the process; 0 means none.
	MemoryMB int
	// MaxDescriptors is the limit of the process's open descriptors; 0 means none.
	MaxDescriptors int
	// LinkMbps is the bandwidth of the host's network link; 0 if unknown.
	LinkMbps float64
}

// Listen holds the addresses that the process listens on. An empty address is not served.
type Listen struct {
	Frontend  string
	Readiness string
	Control   string
	Directory string
	Metrics   string
}

// Bounds are the service guarantees that users of the platform rely on.
type Bounds struct {
	// ConfigInForce is the time within which a new configuration must be in force.
	ConfigInForce time.Duration
	// DrainTime is how long an upstream that leaves as planned serves after the store has accepted its
	// report that it drains.
	DrainTime time.Duration
	// ReportInterval is the interval at which upstreams report to the store, which removes their entries
	// after three intervals of silence; 0 if unknown.
	ReportInterval time.Duration
	// Grace is the time between the request to stop and the kill of a process.
	Grace time.Duration
	// RetryShare and RetryReserve bound the retries of a service within RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// QuotaWindow and QuotaSlack bound how far a workspace may exceed its quota.
	QuotaWindow time.Duration
	QuotaSlack  float64
	// Lease is how long a lease stays with its holder without a renewal.
	Lease time.Duration
	// UsageWindow is the length of one window of the usage report.
	UsageWindow time.Duration
	// MaxDirectoryTTL is the longest time for which a directory response may be cached.
	MaxDirectoryTTL time.Duration
	// ExposureShare and ExposureSlack bound the requests to a version that is not proven: a share of
	// its service's requests, and a number of requests beyond it.
	ExposureShare float64
	ExposureSlack float64
}

// StoreSettings hold the address of the platform's store.
type StoreSettings struct {
	Address string
}

// CloudSettings hold the address of the platform's cloud API.
type CloudSettings struct {
	Address string
	// ReportsUsage and ScalesServices enable the usage report and the scaling of services.
	ReportsUsage   bool
	ScalesServices bool
	// ChecksFencing is true where the cloud API refuses calls with an outdated fencing number.
	ChecksFencing bool
}
