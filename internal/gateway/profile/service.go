package profile

import (
	"math"
	"time"
)

const (
	// memory is the number of timings after which one has lost most of its weight in the base
	// time and prefill rate of a service.
	memory = 2000
	// priorWeight is the weight of the assumed base time and prefill rate, in timings.
	priorWeight = 20
	// priorTokens are the prompt lengths for which the assumed values count as timings.
	priorTokens = 4000
	// minOwnShare is the share of a request's own work in the modelled time from which its timing
	// says something about the service: else it tells how long the queue was.
	minOwnShare = 0.5
	// maxRatio bounds the ratio of the measured to the modelled time.
	maxRatio = 4
	// meanWeight is the smoothing weight of one timing in the service's mean.
	meanWeight = 0.005

	minBase, maxBase = time.Millisecond, time.Second
	// minRate and maxRate are in tokens per second.
	minRate, maxRate = 2_000, 1_000_000
)

// Assumption is what is assumed of a service before it is measured.
type Assumption struct {
	// Base is the time to the first event at an idle upstream without prefill.
	Base time.Duration
	// PrefillRate is in tokens per second; 0 for services that read no prompts.
	PrefillRate float64
	// PerRequest is what each request in progress adds. It is not learnt.
	PerRequest time.Duration
}

// Service is the model of a service: the time to the first event is
//
//	base + tokens/rate + what the known queue takes,
//
// divided by the upstream's relative speed.
type Service struct {
	assumed Assumption
	// base (seconds) and perToken (seconds) are the fit of the sums.
	base, perToken float64
	// The sums of weights, tokens and seconds of a least-squares fit with forgetting.
	sumW, sumX, sumY, sumXX, sumXY float64
	// timings counts the timings in the fit.
	timings int
	// mean is the smoothed logarithm of measured to modelled time over all upstreams, and means the
	// number of timings in it.
	mean  float64
	means int
}

// NewService returns the model of a service that has not been measured.
func NewService(a Assumption) *Service {
	s := &Service{assumed: a, base: a.Base.Seconds()}
	if a.PrefillRate > 0 {
		s.perToken = 1 / a.PrefillRate
	}
	return s
}

// Own returns the time that the request's own work takes at a typical upstream, Wait what the
// work before it does.
func (s *Service) Own(tokens int) time.Duration {
	return seconds(s.base + float64(tokens)*s.perToken)
}

// Wait returns the time that the known work before a request takes at a typical upstream.
func (s *Service) Wait(w Work) time.Duration {
	return seconds(float64(w.Ahead)*s.perToken) + time.Duration(w.Open)*s.assumed.PerRequest
}

// Base returns the time to the first event without prefill.
func (s *Service) Base() time.Duration { return seconds(s.base) }

// PrefillRate returns the prompt tokens that a typical upstream reads per second; ok is false while
// that is only assumed.
func (s *Service) PrefillRate() (tokensPerSecond float64, ok bool) {
	if s.perToken <= 0 {
		return 0, false
	}
	return 1 / s.perToken, s.timings >= 2*priorWeight
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Record learns from a timing at the upstream.
func (s *Service) Record(u *Upstream, t Timing, now time.Time) {
	if !t.valid() {
		return
	}
	w := t.work()
	own, wait := s.Own(w.Tokens), s.Wait(w)
	share := own.Seconds() / (own + wait).Seconds()
	took := float64(t.Millis) / 1e3
	ratio := took / (own + wait).Seconds()
	deviation := math.Log(min(max(ratio, 1.0/maxRatio/maxRatio), maxRatio*maxRatio))
	u.record(deviation, share*share, s, now)
	s.recordMean(deviation)
	if share >= minOwnShare {
		relative := u.relativeTime(s, now)
		s.fit(float64(w.Tokens), share*min(ratio, maxRatio*relative)*(own+wait).Seconds()/relative, share)
	}
}

func (s *Service) recordMean(deviation float64) {
	s.means++
	s.mean += max(meanWeight, 1/float64(s.means+1)) * clip(deviation-s.mean, maxStep)
}

// fit adds a request of x tokens that took y seconds and solves for base and perToken. The assumed
// values take part as timings of two lengths, so that there is always a solution.
func (s *Service) fit(x, y, weight float64) {
	const keep = 1 - 1.0/memory
	s.timings++
	s.sumW = keep*s.sumW + weight
	s.sumX = keep*s.sumX + weight*x
	s.sumY = keep*s.sumY + weight*y
	s.sumXX = keep*s.sumXX + weight*x*x
	s.sumXY = keep*s.sumXY + weight*x*y
	if s.perToken <= 0 {
		prior := s.assumed.Base.Seconds()
		s.base = clamp((s.sumY+priorWeight*prior)/(s.sumW+priorWeight), minBase.Seconds(), maxBase.Seconds())
		return
	}
	short, long := s.assumed.Base.Seconds(), s.assumed.Base.Seconds()+priorTokens/s.assumed.PrefillRate
	const half = priorWeight / 2.0
	sw, sx, sy := s.sumW+priorWeight, s.sumX+half*priorTokens, s.sumY+half*(short+long)
	sxx, sxy := s.sumXX+half*priorTokens*priorTokens, s.sumXY+half*priorTokens*long
	slope := (sw*sxy - sx*sy) / (sw*sxx - sx*sx)
	s.perToken = clamp(slope, 1.0/maxRate, 1.0/minRate)
	s.base = clamp((sy-s.perToken*sx)/sw, minBase.Seconds(), maxBase.Seconds())
}

func clamp(v, least, most float64) float64 { return min(max(v, least), most) }

func clip(v, bound float64) float64 { return clamp(v, -bound, bound) }
