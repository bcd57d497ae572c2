package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/membership"
)

func TestSuccessorsAreUsableAndPreferOtherFailureDomains(t *testing.T) {
	members := []membership.Member{
		{Incarnation: "n1_1", FailureDomain: "a"},
		{Incarnation: "n2_1", FailureDomain: "a"},
		{Incarnation: "n3_1", FailureDomain: "b", Foreign: true},
		{Incarnation: "n4_1", FailureDomain: "b"},
		{Incarnation: "n5_1", FailureDomain: "b", State: membership.StateLeaving},
	}
	require.Equal(t, []membership.Member{members[3], members[1]}, successors(members, "n1_1", "a"))
}
