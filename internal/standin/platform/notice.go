package platform

// Notice is a reclaim notice.
type Notice struct {
	Sequence      uint64 `json:"sequence"`
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	GivenMs       int64  `json:"givenMs"`
	ReclaimAtMs   int64  `json:"reclaimAtMs"`
}
