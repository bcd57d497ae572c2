package slopes

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// turnHours is the number of hours whose turns at reading the host list are counted.
	turnHours = 1
	// firstTurn is the first turn that is counted; it is fixed so that every run counts the
	// same turns.
	firstTurn fleet.Turn = 1 << 32
)

// countHostListReads returns how often nodes of the large site read the host list: on
// average, and the node that reads most often.
func countHostListReads() []Figure {
	var members []membership.Member
	for n := range siteMembers {
		members = append(members, memberN(n, time.UnixMilli(0), ""))
	}
	span := turnHours * time.Hour
	turns := fleet.Turn(span / fleet.HostListInterval)
	reads := make(map[ident.Incarnation]int)
	most := 0
	for turn := range turns {
		reader, _ := fleet.HostListReader(members, firstTurn+turn)
		reads[reader.Incarnation]++
		most = max(most, reads[reader.Incarnation])
	}
	how := fmt.Sprintf("%d members in %d failure domains, %d hour of turns", siteMembers, domains, turnHours)
	return []Figure{
		{Name: "lists.hosts_reads", Value: float64(turns) / span.Seconds() / siteMembers, Unit: unitPerSecond, How: "a node, " + how},
		{Name: "lists.hosts_reads_most", Value: float64(most) / span.Seconds(), Unit: unitPerSecond, How: "the node that reads most often, " + how},
	}
}
