package platform

import (
	"time"
)

// BillLine is the cost of one host so far.
type BillLine struct {
	Host  Host    `json:"host"`
	Hours float64 `json:"hours"`
	Cost  float64 `json:"cost"`
}

// Bill returns the cost of each host started so far, ended ones included.
func (s *Server) Bill() []BillLine {
	now := s.cloud.clock().UnixMilli()
	hosts := s.cloud.snapshot()
	out := make([]BillLine, 0, len(hosts))
	for _, h := range hosts {
		end := h.EndedMs
		if end == 0 {
			end = now
		}
		hours := (time.Duration(end-h.StartedMs) * time.Millisecond).Hours()
		out = append(out, BillLine{Host: h, Hours: hours, Cost: hours * h.PricePerHour})
	}
	return out
}
