package slopes

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// settleTime passes between joining and measuring, so that the news of joining has ended.
	settleTime = 5 * time.Second
	// quietTime is how long members are measured without news.
	quietTime = 4 * time.Second
	// newsTime is how long members are measured with newsPerSecond rumours in all.
	newsTime      = 3 * time.Second
	newsPerSecond = 5
	newsBytes     = 64
	// spreadTimeout bounds how long a rumour may take.
	spreadTimeout = 20 * time.Second
	// waveHosts is how many hosts of one failure domain are reclaimed at once.
	waveHosts = 580
)

// memberships measures sites of each of the sizes.
func memberships(sizes []int) ([]Figure, error) {
	var out []Figure
	for _, size := range sizes {
		figures, err := membershipAt(size)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

func membershipAt(size int) ([]Figure, error) {
	before := now(true)
	s, err := newSite(size)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	joined := time.Since(before.wall)
	time.Sleep(settleTime)
	m := meter{size: size}
	m.add("join", float64(joined.Milliseconds()), unitMilliseconds, "all members started at once")
	m.add("memory", signedDifference(now(true), before)/float64(size), unitBytes, "heap and stacks, one member")
	quiet := m.rates(s, "quiet", quietTime, func() { time.Sleep(quietTime) })
	busy := m.rates(s, "news", newsTime, func() { publishSteadily(s) })
	m.add("bytes_per_news", (busy-quiet)/newsPerSecond, unitBytes, fmt.Sprintf("sent and received, one member, rumours of %d B payload", newsBytes))
	m.spread(s, "spread_one", 1)
	m.spread(s, "spread_wave", waveHosts)
	return m.figures, nil
}

// meter collects the figures of one size.
type meter struct {
	size    int
	figures []Figure
}

func (m *meter) add(what string, value float64, unit, how string) {
	name := fmt.Sprintf("membership.%s.%d", what, m.size)
	m.figures = append(m.figures, Figure{Name: name, Value: value, Unit: unit, How: how})
}

// rates measures bytes and processor time of one member while work lasts and returns the bytes a second.
func (m *meter) rates(s *site, what string, length time.Duration, work func()) float64 {
	before, stats := now(true), s.stats()
	work()
	after, ended := now(false), s.stats()
	memberSeconds := after.wall.Sub(before.wall).Seconds() * float64(m.size)
	sent := wireBytes(ended.SentBytes-stats.SentBytes, ended.SentDatagrams-stats.SentDatagrams) / memberSeconds
	received := wireBytes(ended.ReceivedBytes-stats.ReceivedBytes, ended.ReceivedDatagrams-stats.ReceivedDatagrams) / memberSeconds
	how := fmt.Sprintf("one member, over %v", length)
	m.add(what+"_bytes", sent+received, unitBytesPerSecond, how+", sent and received, with UDP and IP headers")
	m.add(what+"_cpu", (after.processor-before.processor).Seconds()/memberSeconds*percent, unitPercentOfCore, how)
	return sent + received
}

func publishSteadily(s *site) {
	ticker := time.NewTicker(time.Second / newsPerSecond)
	defer ticker.Stop()
	for n := range newsPerSecond * int(newsTime/time.Second) {
		<-ticker.C
		publish(s, n, fmt.Sprintf("change-%d", n))
	}
}

func publish(s *site, n int, key string) {
	c := s.clusters[n%len(s.clusters)]
	_ = c.Publish(membership.TopicLeaving, key, 1, make([]byte, newsBytes)) // within the limits of a rumour
}

// spread publishes count rumours at once and measures until the last member has heard the last.
func (m *meter) spread(s *site, what string, count int) {
	heard := newAudience(s, what)
	begin := time.Now()
	for n := range count {
		publish(s, n, fmt.Sprintf("%s/host/%05d", what, n))
	}
	whole := s.waitFor(spreadTimeout, func() bool { return heard.whole(count * (len(s.clusters) - 1)) })
	how := fmt.Sprintf("%d rumours published at once", count)
	if !whole {
		how += ", NOT all heard in time"
	}
	last, p99 := heard.times(begin)
	m.add(what+"_p99", float64(p99.Milliseconds()), unitMilliseconds, how)
	m.add(what+"_last", float64(last.Milliseconds()), unitMilliseconds, how)
}
