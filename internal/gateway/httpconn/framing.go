package httpconn

import "net/http"

// Framing is how a response tells where its body ends.
type Framing uint8

const (
	// FramingUnknown is the framing of a response whose header has not arrived.
	FramingUnknown Framing = iota
	// FramedByLength responses have a length, or no body.
	FramedByLength
	// FramedByChunks responses end with their last chunk.
	FramedByChunks
	// FramedByConnection responses have neither and end with their connection. Nothing in them tells
	// whether they are complete, unless the connection was reset.
	FramedByConnection
)

// String returns the framing as written in logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByConnection:
		return "connection"
	}
	return "unknown"
}

// framingOf returns the framing of a response to a request with the given method.
func framingOf(method string, r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength >= 0 || method == http.MethodHead:
		return FramedByLength
	}
	return FramedByConnection
}
