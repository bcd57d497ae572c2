package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// jobState is what has become of a job.
type jobState uint8

const (
	jobOpen jobState = iota
	// jobAnswered is a whole answer in time.
	jobAnswered
	// jobLate is a job whose deadline passed after it was accepted.
	jobLate
	// jobRefused was told that it was not run.
	jobRefused
	// jobFailed ended with an error after it may have run.
	jobFailed
)

// job is one request of a caller.
type job struct {
	number    int
	kind      *kind
	workspace int
	arrive    time.Duration
	deadline  time.Duration
	home      int
	features  routing.Features
	print     poison.Fingerprint
	output    int
	poison    bool

	state     jobState
	ended     time.Duration
	generated int
	// first and last are when the first and the last token came.
	first, last time.Duration
	// tailComputed is true once the part of the prompt that has no block was prefilled.
	tailComputed bool
	attempts     int
	sent         int
	ticket       *admission.Ticket
	attempt      *attempt
	serial       uint64
	passed       bool
	// pass names the pass of the run; a run's late release must not give back the next one's.
	pass poison.PassID
	// accepted is true once admission has taken the job in.
	accepted bool
	waiting  bool
}

// open reports whether the job still waits for its answer.
func (j *job) open() bool {
	return j.state == jobOpen
}

// tail returns how many tokens of the prompt are behind its last block.
func (j *job) tail() int {
	return j.features.PromptTokens - len(j.features.Blocks)*blockTokens
}

// blockTokens is how many tokens a block covers.
const blockTokens = routing.BlockBytes / 4

// attempt is one run of a job at an engine.
type attempt struct {
	job    *job
	engine *engine
	// ended is called when the attempt ends, at the engine's time.
	ended func(*attempt, ending)
	// urgency orders the attempts that wait at the engine, the greatest first.
	urgency request.Urgency
	// prefill is how many tokens are left to prefill.
	prefill int
	// moved is true when the KV cache was imported.
	moved   bool
	started time.Duration
	// token is when its last token was generated.
	token time.Duration
	// silent is true when its connection went silent; hidden counts the tokens
	// nobody saw, and finished is true when the last one is among them.
	silent   bool
	hidden   int
	finished bool
	over     bool
	// reservation is the owner's, when one is held.
	owner  int
	serial uint64
	held   bool
	moving bool
}

// ending is how an attempt ended.
type ending uint8

const (
	endDone ending = iota
	// endFull and endLeaving are refusals: the job was not run.
	endFull
	endLeaving
	// endUnreached means that nothing listened there.
	endUnreached
	// endCrashed means that the upstream died while it ran the job.
	endCrashed
)
