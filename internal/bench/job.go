package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// jobState is the state of a job.
type jobState uint8

const (
	jobOpen jobState = iota
	// jobAnswered means that the whole answer came in time.
	jobAnswered
	// jobLate means that the deadline passed before the job had ended.
	jobLate
	// jobRefused means that the caller was told that the job was not run.
	jobRefused
	// jobFailed means that the job ended with an error after it may have run.
	jobFailed
)

// job is a request of a caller.
type job struct {
	number    int
	kind      *kind
	workspace int
	arrivesAt time.Duration
	deadline  time.Duration
	// home is the node that the caller sent the job to.
	home         int
	features     routing.Features
	fingerprint  poison.Fingerprint
	outputTokens int
	poison       bool

	state           jobState
	endedAt         time.Duration
	generatedTokens int
	// firstTokenAt and lastTokenAt are when the first and the latest token came.
	firstTokenAt, lastTokenAt time.Duration
	// tailComputed is true once the end of the prompt that fills no whole block was
	// prefilled.
	tailComputed bool
	attempts     int
	// sent is how often an engine has accepted the job.
	sent              int
	ticket            *admission.Ticket
	attempt           *attempt
	reservationSerial uint64
	holdsPass         bool
	// passID identifies the gate's pass for the present run, so that a late release of an
	// earlier run's pass doesn't release it.
	passID poison.PassID
	// accepted is true once the job was admitted.
	accepted bool
	// reserving is true while the job counts as requesting a slot.
	reserving bool
}

// open reports whether the job has not ended.
func (j *job) open() bool {
	return j.state == jobOpen
}

// tailTokens returns the number of prompt tokens after the last whole block.
func (j *job) tailTokens() int {
	return j.features.PromptTokens - len(j.features.Blocks)*blockTokens
}

// blockTokens is the number of tokens in a block, at four bytes a token.
const blockTokens = routing.BlockBytes / 4

// attempt is one run of a job at an engine.
type attempt struct {
	job    *job
	engine *engine
	// onEnd is called once when the attempt ends. It runs without network delay, at the
	// time at which the engine ends the attempt.
	onEnd func(*attempt, ending)
	// urgency orders the attempts that wait at the engine, the greatest first.
	urgency request.Urgency
	// prefillLeft is the number of tokens that are still to be prefilled.
	prefillLeft int
	// kvImported is true if the engine imported the KV cache, so that nothing is prefilled.
	kvImported bool
	startedAt  time.Duration
	// lastTokenAt is when the attempt's latest token was generated.
	lastTokenAt time.Duration
	// silent is true while the connection delivers nothing although the engine goes on.
	// hiddenTokens counts the tokens that were not delivered; finished is true if the last
	// token of the answer is among them.
	silent       bool
	hiddenTokens int
	finished     bool
	done         bool
	// ownerNode and reservationSerial identify the reservation at its owner while
	// holdsReservation is true.
	ownerNode         int
	reservationSerial uint64
	holdsReservation  bool
	// moving is true once a move to another upstream has begun.
	moving bool
}

// ending is how an attempt ended.
type ending uint8

const (
	endCompleted ending = iota
	// endFull and endLeaving mean that the engine refused the job and did not run it,
	// because its queue was full or because it is leaving.
	endFull
	endLeaving
	// endUnreachable means that the engine was down and the job was not run.
	endUnreachable
	// endCrashed means that the upstream failed while it ran the job.
	endCrashed
)
