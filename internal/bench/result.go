package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured. The bench writes it as one line of JSON.
type Result struct {
	Shape    string `json:"shape"`
	Scenario string `json:"scenario"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	// OfferedWorth and AnsweredWorth are the total worth of all requests, and of those that
	// were answered wholly and in time.
	OfferedWorth  float64 `json:"offered"`
	AnsweredWorth float64 `json:"answered"`
	// Goodput is AnsweredWorth divided by OfferedWorth.
	Goodput float64 `json:"goodput"`
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
	// CostPerWorth is the price of all host-hours divided by AnsweredWorth.
	CostPerWorth float64 `json:"cost_per_weighted_answer"`
	// Recomputed is how many of the prefilled tokens had been computed before, at any
	// engine.
	Recomputed int `json:"tokens_recomputed"`
	// Requests is the number of requests. AnsweredRequests, Refused, Late and Failed count
	// them by their ends and sum up to it.
	Requests         int `json:"requests"`
	AnsweredRequests int `json:"answered_requests"`
	Refused          int `json:"refused_not_run"`
	Late             int `json:"late"`
	Failed           int `json:"failed"`
	// Withdrawn is how many of the refused requests had been admitted before. RefusalP95 is
	// the time from a request's arrival to its refusal, in milliseconds.
	Withdrawn  int     `json:"withdrawn_not_run"`
	RefusalP95 float64 `json:"refusal_p95_ms"`
	// Sends is how often an upstream accepted a request. RetryShare is the fraction of
	// Sends beyond the first of each request.
	Sends      int     `json:"sends"`
	RetryShare float64 `json:"retry_share"`
	// LeastFairShare is the smallest ratio of what a small workspace received to its fair share.
	LeastFairShare float64 `json:"least_fair_share"`
	// Crashes is how often poison content crashed an upstream.
	Crashes int `json:"crashes"`
	// FalseConvictions is how many requests were refused as poison although they were not.
	FalseConvictions int `json:"false_convictions"`
	// LateSends is how many requests were sent to a leaving upstream more than 3 s after its
	// notice.
	LateSends int `json:"work_after_leaving"`
	// Stays, Transfers, Prefills and Resumes count streams by how they were continued; see
	// recovery.Method.
	Stays     int `json:"stays"`
	Transfers int `json:"transfers"`
	Prefills  int `json:"prefills"`
	Resumes   int `json:"resumes"`

	// firstTokenTimes, tokenIntervals and refusalTimes are in microseconds.
	firstTokenTimes *hdrhistogram.Histogram
	tokenIntervals  *hdrhistogram.Histogram
	refusalTimes    *hdrhistogram.Histogram
}

// newResult returns an empty result; its histograms hold times from 1 us to one minute.
func newResult(shape Shape, scenario Scenario, seed uint64) *Result {
	return &Result{
		Shape: shape.Name, Scenario: scenario.Name, Seed: seed,
		firstTokenTimes: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		tokenIntervals:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		refusalTimes:    hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// recordToken records the time to the first token, or since the previous one, of an open
// job.
func (r *Result) recordToken(j *job, now time.Duration) {
	if j.firstTokenAt == 0 {
		_ = r.firstTokenTimes.RecordValue(int64((now - j.arrivesAt) / time.Microsecond))
		return
	}
	_ = r.tokenIntervals.RecordValue(int64((now - j.lastTokenAt) / time.Microsecond))
}

// recordRefusal counts a refused job and the time until its refusal.
func (r *Result) recordRefusal(j *job) {
	r.Refused++
	if j.accepted {
		r.Withdrawn++
	}
	_ = r.refusalTimes.RecordValue(int64((j.endedAt - j.arrivesAt) / time.Microsecond))
}

// summarize computes the figures at the end of a run.
func (r *Result) summarize(w *world) {
	sentRequests := 0
	for _, j := range w.jobs {
		r.Requests++
		r.OfferedWorth += j.kind.worth
		r.Sends += j.sent
		if j.sent > 0 {
			sentRequests++
		}
		switch j.state {
		case jobAnswered:
			r.AnsweredRequests++
			r.AnsweredWorth += j.kind.worth
		case jobRefused:
			r.recordRefusal(j)
		case jobFailed:
			r.Failed++
		case jobLate, jobOpen:
			r.Late++
		}
	}
	r.Goodput = ratio(r.AnsweredWorth, r.OfferedWorth)
	r.RetryShare = ratio(float64(r.Sends-sentRequests), float64(r.Sends))
	r.FirstTokenP95 = float64(r.firstTokenTimes.ValueAtQuantile(95)) / 1000
	r.BetweenTokensP95 = float64(r.tokenIntervals.ValueAtQuantile(95)) / 1000
	r.RefusalP95 = float64(r.refusalTimes.ValueAtQuantile(95)) / 1000
	r.CostPerWorth = ratio(cost(w), r.AnsweredWorth)
	r.LeastFairShare = leastFairShare(w)
}

// cost returns the price of all host-hours of the run.
func cost(w *world) float64 {
	sum := 0.0
	for _, e := range w.engines {
		sum += e.paidTime.Hours() * e.upstream.PricePerHour
	}
	return sum
}

// ratio returns a divided by b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
