package slopes

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// settleTime is the time between joining and measuring, in which the rumours of joining
	// end.
	settleTime = 5 * time.Second
	// quietTime is how long members are measured without rumours.
	quietTime = 4 * time.Second
	// rumourTime is how long members are measured while rumoursPerSecond rumours, in total,
	// are published, each with a payload of rumourBytes.
	rumourTime       = 3 * time.Second
	rumoursPerSecond = 5
	rumourBytes      = 64
	// spreadTimeout limits the time until all members have received the rumours of
	// measureSpread.
	spreadTimeout = 20 * time.Second
	// waveHosts is how many hosts of a failure domain are reclaimed at once.
	waveHosts = 580
)

// measureMemberships measures a site of each of the sizes.
func measureMemberships(sizes []int) ([]Figure, error) {
	var out []Figure
	for _, size := range sizes {
		figures, err := measureMembership(size)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

// measureMembership measures a site of size members.
func measureMembership(size int) ([]Figure, error) {
	before := readUsage(true)
	s, err := newSite(size)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	joined := time.Since(before.wall)
	time.Sleep(settleTime)
	m := meter{size: size}
	m.add("join", float64(joined.Milliseconds()), unitMilliseconds, "all members started at once")
	m.add("memory", memoryGrowth(readUsage(true), before)/float64(size), unitBytes, "heap and stacks, one member")
	quietRate := m.measureRates(s, "quiet", quietTime, func() { time.Sleep(quietTime) })
	rumourRate := m.measureRates(s, "news", rumourTime, func() { publishSteadily(s) })
	m.add("bytes_per_news", (rumourRate-quietRate)/rumoursPerSecond, unitBytes, fmt.Sprintf("sent and received, one member, rumours of %d B payload", rumourBytes))
	m.measureSpread(s, "spread_one", 1)
	m.measureSpread(s, "spread_wave", waveHosts)
	return m.figures, nil
}

// meter measures a site of one size and collects the figures.
type meter struct {
	size    int
	figures []Figure
}

// add adds a figure to the collection.
func (m *meter) add(what string, value float64, unit, how string) {
	name := fmt.Sprintf("membership.%s.%d", what, m.size)
	m.figures = append(m.figures, Figure{Name: name, Value: value, Unit: unit, How: how})
}

// measureRates measures traffic and processor time of one member while work runs. It
// returns the bytes per second, sent and received. length is only named in the figures.
func (m *meter) measureRates(s *site, what string, length time.Duration, work func()) float64 {
	before, stats := readUsage(true), s.totalStats()
	work()
	after, ended := readUsage(false), s.totalStats()
	memberSeconds := after.wall.Sub(before.wall).Seconds() * float64(m.size)
	sent := wireBytes(ended.SentBytes-stats.SentBytes, ended.SentDatagrams-stats.SentDatagrams) / memberSeconds
	received := wireBytes(ended.ReceivedBytes-stats.ReceivedBytes, ended.ReceivedDatagrams-stats.ReceivedDatagrams) / memberSeconds
	how := fmt.Sprintf("one member, over %v", length)
	m.add(what+"_bytes", sent+received, unitBytesPerSecond, how+", sent and received, with UDP and IP headers")
	m.add(what+"_cpu", (after.processor-before.processor).Seconds()/memberSeconds*percent, unitPercentOfCore, how)
	return sent + received
}

// publishSteadily publishes rumoursPerSecond rumours per second for rumourTime.
func publishSteadily(s *site) {
	ticker := time.NewTicker(time.Second / rumoursPerSecond)
	defer ticker.Stop()
	for n := range rumoursPerSecond * int(rumourTime/time.Second) {
		<-ticker.C
		publish(s, n, fmt.Sprintf("change-%d", n))
	}
}

// publish publishes a rumour by one of the members, which n selects.
func publish(s *site, n int, key string) {
	c := s.clusters[n%len(s.clusters)]
	_ = c.Publish(membership.TopicLeaving, key, 1, make([]byte, rumourBytes)) // within the limits of a rumour
}

// measureSpread publishes count rumours at once and measures the time until all members
// have received them.
func (m *meter) measureSpread(s *site, what string, count int) {
	recorder := newRumourRecorder(s, what)
	begin := time.Now()
	for n := range count {
		publish(s, n, fmt.Sprintf("%s/host/%05d", what, n))
	}
	complete := s.waitFor(spreadTimeout, func() bool { return recorder.complete(count * (len(s.clusters) - 1)) })
	how := fmt.Sprintf("%d rumours published at once", count)
	if !complete {
		how += ", NOT all heard in time"
	}
	last, p99 := recorder.spreadTimes(begin)
	m.add(what+"_p99", float64(p99.Milliseconds()), unitMilliseconds, how)
	m.add(what+"_last", float64(last.Milliseconds()), unitMilliseconds, how)
}
