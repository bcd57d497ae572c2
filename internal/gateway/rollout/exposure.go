package rollout

const (
	// shareMargin and slackMargin are the parts of the permitted share and slack that nodes use:
	// processes that start anew do not know what earlier ones sent.
	shareMargin = 0.8
	slackMargin = 0.5
)

// exposure bounds the requests that a node sends to a version that is not proven. All fields count
// requests of this node since the order.
type exposure struct {
	share float64
	// slack is this node's part of the requests permitted beyond the share.
	slack float64
	all   sent
	group [routeGroups]sent
}

// sent counts requests that were sent to any version, and to the new one.
type sent struct {
	total int
	toNew int
}

// permits reports whether one more request may go to the new version. Every group of routes gets its
// own share of it.
func (x *exposure) permits(group int) bool {
	return float64(x.all.toNew+1) <= x.share*float64(x.all.total)+x.slack &&
		float64(x.group[group].toNew) <= x.share*float64(x.group[group].total)
}

// record counts a request that is sent for the first time.
func (x *exposure) record(group int) {
	x.all.total++
	x.group[group].total++
}

// recordNew counts a request to the new version; n is -1 for one that was not sent after all.
func (x *exposure) recordNew(group, n int) {
	x.all.toNew += n
	x.group[group].toNew += n
}
