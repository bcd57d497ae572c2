package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured. Its JSON is one line of the bench's output.
type Result struct {
	Shape    string `json:"shape"`
	Scenario string `json:"scenario"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	// Offered and Answered are the worth of all requests and of those answered once, whole and in time.
	Offered  float64 `json:"offered"`
	Answered float64 `json:"answered"`
	// Goodput is Answered as a part of Offered.
	Goodput float64 `json:"goodput"`
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
	// CostPerWorth is the price of all host-hours for each weighted answer.
	CostPerWorth float64 `json:"cost_per_weighted_answer"`
	// Recomputed is how many tokens were computed that had been computed before.
	Recomputed int `json:"tokens_recomputed"`
	// Requests is how many there were; the next ones say what became of them.
	Requests int `json:"requests"`
	Whole    int `json:"answered_requests"`
	Refused  int `json:"refused_not_run"`
	Late     int `json:"late"`
	Failed   int `json:"failed"`
	// Withdrawn is how many of the refused had been accepted before, and
	// RefusalP95 how long a refused request had to wait for its refusal, in milliseconds.
	Withdrawn  int     `json:"withdrawn_not_run"`
	RefusalP95 float64 `json:"refusal_p95_ms"`
	// Sends is how often a request was accepted by an upstream; RetryShare is
	// the part of it beyond the first time of each request.
	Sends      int     `json:"sends"`
	RetryShare float64 `json:"retry_share"`
	// FairShare is the least that a small workspace got of its fair share.
	FairShare float64 `json:"least_fair_share"`
	// Crashes is how many upstreams were crashed by a content.
	Crashes int `json:"crashes"`
	// FalseConvictions is how many requests were refused as poison that were not.
	FalseConvictions int `json:"false_convictions"`
	// LateWork is how many requests were sent to a leaving upstream later than 3 s after its notice.
	LateWork int `json:"work_after_leaving"`
	// Stays, Transfers, Prefills and Resumes count how streams went on.
	Stays     int `json:"stays"`
	Transfers int `json:"transfers"`
	Prefills  int `json:"prefills"`
	Resumes   int `json:"resumes"`

	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
}

func newResult(shape Shape, scenario Scenario, seed uint64) *Result {
	return &Result{
		Shape: shape.Name, Scenario: scenario.Name, Seed: seed,
		first:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		between: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		refusal: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// noteToken records a token of an open job.
func (r *Result) noteToken(j *job, now time.Duration) {
	if j.first == 0 {
		_ = r.first.RecordValue(int64((now - j.arrive) / time.Microsecond))
		return
	}
	_ = r.between.RecordValue(int64((now - j.last) / time.Microsecond))
}

// noteRefusal counts a job that was told that it was not run.
func (r *Result) noteRefusal(j *job) {
	r.Refused++
	if j.accepted {
		r.Withdrawn++
	}
	_ = r.refusal.RecordValue(int64((j.ended - j.arrive) / time.Microsecond))
}

// sum fills in the figures at the end of a run.
func (r *Result) sum(w *world) {
	first := 0
	for _, j := range w.jobs {
		r.Requests++
		r.Offered += j.kind.worth
		r.Sends += j.sent
		if j.sent > 0 {
			first++
		}
		switch j.state {
		case jobAnswered:
			r.Whole++
			r.Answered += j.kind.worth
		case jobRefused:
			r.noteRefusal(j)
		case jobFailed:
			r.Failed++
		case jobLate, jobOpen:
			r.Late++
		}
	}
	r.Goodput = ratio(r.Answered, r.Offered)
	r.RetryShare = ratio(float64(r.Sends-first), float64(r.Sends))
	r.FirstTokenP95 = float64(r.first.ValueAtQuantile(95)) / 1000
	r.BetweenTokensP95 = float64(r.between.ValueAtQuantile(95)) / 1000
	r.RefusalP95 = float64(r.refusal.ValueAtQuantile(95)) / 1000
	r.CostPerWorth = ratio(cost(w), r.Answered)
	r.FairShare = leastFairShare(w)
}

// cost returns the price of all host-hours of the run.
func cost(w *world) float64 {
	sum := 0.0
	for _, e := range w.engines {
		sum += e.paid.Hours() * e.upstream.PricePerHour
	}
	return sum
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
