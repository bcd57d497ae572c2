package profile

import (
	"math"
	"time"
)

const (
	// speedWeight is the smoothing weight of one timing in an upstream's speed.
	speedWeight = 0.1
	// maxStep bounds how far one timing may lie from the estimate, as a logarithm: a stuck request
	// says little.
	maxStep = 1.2
	// evidenceHalfLife is how fast timings lose their weight against the service's mean.
	evidenceHalfLife = 10 * time.Second
	// maxEvidence bounds the weight of the timings, and meanEvidence is that of the service's mean.
	maxEvidence  = 24
	meanEvidence = 2
	// minEvidence is the weight of timings from which an upstream has a class of its own.
	minEvidence = 6
	// classRatio is the ratio of speeds of neighbouring classes, and classMargin the distance, in
	// classes, at which an upstream leaves its class.
	classRatio  = 1.25
	classMargin = 0.9
	// maxClass bounds the classes.
	maxClass = 6
)

// Upstream is the learnt speed of one incarnation of an upstream.
type Upstream struct {
	// deviation is the smoothed logarithm of the measured to the modelled time.
	deviation float64
	// evidence is the weight of the timings at the time at.
	evidence float64
	at       time.Time
	// class is the class of speed and speed its speed; 0 while the class is 0.
	class int
	speed float64
	// changed is true when the class changed since it was last asked for.
	changed bool
}

// record learns from a timing of a weight of at most 1: the less, the more of its time was queueing.
func (u *Upstream) record(deviation, weight float64, s *Service, now time.Time) {
	u.evidence = u.weight(now)
	u.at = now
	if u.evidence == 0 {
		u.deviation = s.mean
	}
	u.evidence = min(u.evidence+weight, maxEvidence)
	weight *= max(speedWeight, 1/(u.evidence+meanEvidence))
	u.deviation += weight * clip(deviation-u.deviation, maxStep)
	u.updateClass(s, now)
}

// weight returns the weight of the timings now.
func (u *Upstream) weight(now time.Time) float64 {
	if u.evidence == 0 {
		return 0
	}
	return u.evidence * math.Exp2(-now.Sub(u.at).Seconds()/evidenceHalfLife.Seconds())
}

// logSpeed returns the logarithm of the estimated speed relative to the service's mean, to which it
// returns as the timings age.
func (u *Upstream) logSpeed(s *Service, now time.Time) float64 {
	weight := u.weight(now)
	return weight / (weight + meanEvidence) * (s.mean - u.deviation)
}

// relativeTime returns how many times as long as at a typical upstream a request takes.
func (u *Upstream) relativeTime(s *Service, now time.Time) float64 {
	return math.Exp(-u.logSpeed(s, now))
}

func (u *Upstream) updateClass(s *Service, now time.Time) {
	if u.evidence < minEvidence {
		return
	}
	position := u.logSpeed(s, now) / math.Log(classRatio)
	if math.Abs(position-float64(u.class)) <= classMargin {
		return
	}
	u.setClass(int(clip(math.Round(position), maxClass)))
}

func (u *Upstream) setClass(class int) {
	u.changed = u.changed || class != u.class
	u.class, u.speed = class, math.Pow(classRatio, float64(class))
}

// Refresh lets an upstream without timings return to the others' class.
func (u *Upstream) Refresh(now time.Time) {
	if u.class != 0 && u.weight(now) < meanEvidence/2.0 {
		u.setClass(0)
	}
}

// Class returns the class of speed: 0 is typical, 1 is classRatio times as fast.
func (u *Upstream) Class() int { return u.class }

// Speed returns the speed of the upstream's class relative to a typical upstream.
func (u *Upstream) Speed() float64 {
	if u.class == 0 {
		return 1
	}
	return u.speed
}

// TakeChange reports whether the class has changed since the last call.
func (u *Upstream) TakeChange() bool {
	out := u.changed
	u.changed = false
	return out
}
