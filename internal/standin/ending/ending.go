package ending

// Framing is how a response tells where its body ends.
type Framing int

// Framings of a response.
const (
	WithLength Framing = iota
	WithChunks
	// Unframed responses have neither and end with their connection.
	Unframed
)

// Stop is where a response stops.
type Stop int

// Stops of a response. Its body has pieces: the events of a stream, or parts of a plain body.
const (
	AtItsEnd Stop = iota
	InsideHead
	AfterHead
	BetweenPieces
	// InsidePiece is inside a piece, and inside its chunk.
	InsidePiece
	// BeforeLastChunk is the end of the body without the chunk that ends it.
	BeforeLastChunk
	// InsideLastEvent is inside an event of a stream that is framed as complete.
	InsideLastEvent
	stopCount
)

// Close is how the connection of a response ends once the response has stopped.
type Close int

// Closes of a connection.
const (
	InGoodOrder Close = iota
	ByReset
	// Never leaves the connection open.
	Never
	// WithProcess ends the whole process: the listener and all connections, in good order.
	WithProcess
)

// Ending is how a response is framed, where it stops and how its connection ends.
type Ending struct {
	Framing Framing
	Stop    Stop
	Close   Close
	// StatusLine is a status that is none, and its text; empty for 200.
	StatusLine string
	// Early responses are written, and their connection is ended, before the request body is read.
	Early bool
}

// LongBodyBytes is the length from which a request body is long: it does not fit into the buffers of a
// connection.
const LongBodyBytes = 4 << 20

// oddStatusLines are statuses that are none.
var oddStatusLines = []string{"000 None", "099 Low", "600 High", "999 Highest"}

// Status returns the status of the response and its text.
func (e Ending) Status() string {
	if e.StatusLine == "" {
		return "200 OK"
	}
	return e.StatusLine
}

// Whole reports whether a peer that reads the response can know it to be complete.
func (e Ending) Whole() bool {
	return e.StatusLine == "" && e.Stop == AtItsEnd && !(e.Early && e.Framing == Unframed) && (e.Framing != Unframed || e.Close == InGoodOrder)
}

// Broken reports whether a peer must not take the response for complete. One that is neither whole nor
// broken has all its bytes, but nothing says that they are all.
func (e Ending) Broken() bool {
	return e.StatusLine != "" || e.Stop != AtItsEnd || e.Framing == Unframed && (e.Early || e.Close == ByReset)
}

// possible reports whether a response can end like this: the last chunk and the last event need
// chunks and a stream, and something must tell a broken response from a whole one.
func (e Ending) possible(stream bool) bool {
	switch {
	case e.Stop == BeforeLastChunk && e.Framing != WithChunks, e.Stop == InsideLastEvent && !stream:
		return false
	case e.Framing != Unframed || e.Close != InGoodOrder:
		return true
	}
	return e.Stop == AtItsEnd || e.Stop == InsideHead || stream && (e.Stop == InsidePiece || e.Stop == InsideLastEvent)
}
