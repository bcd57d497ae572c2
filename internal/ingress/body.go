package ingress

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pieceBytes is the size of the pieces of a long body, and firstPieceBytes that of the first piece of
	// a body of unknown length; each further one is twice as large as the one before it.
	pieceBytes      = 64 << 10
	firstPieceBytes = 4 << 10
)

// Body is a request body whose memory is charged to an Account. It arrives in pieces that are never
// copied. One goroutine uses it; only its eviction comes from another.
type Body struct {
	account *Account
	// conn is the connection that the body arrives on; nil if no ConnTable has it.
	conn      *Conn
	owner     Owner
	startedAt time.Time
	// setReadDeadline sets the time at which a read of the source ends with an error.
	setReadDeadline func(time.Time) error
	// latest is the time at which the body must have arrived.
	latest time.Time

	// The following fields are guarded by the account's mutex.
	pieces  [][]byte
	charged int64
	// retained is how often Retain was called without a Release.
	retained int
	arrived  int64
	evicted  bool
}

// NewBody returns an empty body that must arrive until latest, on conn if that is not nil.
func (a *Account) NewBody(conn *Conn, owner Owner, latest time.Time, setReadDeadline func(time.Time) error) *Body {
	b := &Body{account: a, conn: conn, owner: owner, startedAt: a.now(), latest: latest, setReadDeadline: setReadDeadline}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiving[b] = struct{}{}
	return b
}

// Receive reads the whole body. length is its announced length, or negative if it is unknown. After an
// error the body holds nothing; besides the source's errors it is ErrFull or ErrEvicted.
func (b *Body) Receive(source io.Reader, length int64) error {
	b.conn.startBody(length)
	err := b.receivePieces(source, length)
	b.conn.endBody()
	if deadlineErr := b.setReadDeadline(time.Time{}); err == nil {
		err = deadlineErr
	}
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.receiving, b)
	switch {
	case b.evicted:
		return ErrEvicted // the read error is a consequence of the interruption
	case err != nil:
		a.releaseLocked(b)
	}
	return err
}

func (b *Body) receivePieces(source io.Reader, length int64) error {
	if err := b.limitTime(); err != nil {
		return err
	}
	for size := firstSize(length); size > 0; size = b.nextSize(size, length) {
		if err := b.account.reserve(b, size); err != nil {
			return err
		}
		piece, err := fill(source, make([]byte, size))
		b.add(piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// firstSize returns the size of the first piece of a body with the announced length.
func firstSize(length int64) int64 {
	if length < 0 {
		return firstPieceBytes
	}
	return min(length, pieceBytes)
}

// nextSize returns the size of the piece after one of size bytes; 0 if the body is whole.
func (b *Body) nextSize(size, length int64) int64 {
	if length < 0 {
		return min(2*size, pieceBytes)
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return min(length-b.arrived, pieceBytes)
}

// fill reads until piece is full or the source ends, and returns what it read. The error is io.EOF only
// at the regular end of the source.
func fill(source io.Reader, piece []byte) ([]byte, error) {
	n := 0
	for n < len(piece) {
		m, err := source.Read(piece[n:])
		n += m
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}

// limitTime lets reads of the source end at the latest time.
func (b *Body) limitTime() error {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.evicted {
		return ErrEvicted
	}
	return b.setReadDeadline(b.latest)
}

// interrupt ends a read of the source. The error is ignored: a connection without a deadline is closed.
func (b *Body) interrupt() { _ = b.setReadDeadline(time.Unix(1, 0)) }

// add appends a piece, unless the body was evicted.
func (b *Body) add(piece []byte) {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	b.arrived += int64(len(piece))
	if !b.evicted && len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
	}
}

// pace returns the bytes that have arrived a second.
func (b *Body) pace(now time.Time) float64 {
	return float64(b.arrived) / max(now.Sub(b.startedAt), time.Millisecond).Seconds()
}

// Pieces returns the body, in order. The pieces must not be changed.
func (b *Body) Pieces() [][]byte {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.pieces
}

// Reader returns a reader of the body.
func (b *Body) Reader() io.Reader {
	pieces := b.Pieces()
	readers := make([]io.Reader, 0, len(pieces))
	for _, piece := range pieces {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// Size returns the number of bytes that have arrived.
func (b *Body) Size() int64 {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.arrived
}

// DropPieces lets go of the pieces of a body that was decoded. What was decoded takes as much memory, so the
// body stays charged until it is released.
func (b *Body) DropPieces() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.pieces = nil
}

// Retain keeps the body charged until one more Release.
func (b *Body) Retain() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.retained++
}

// Release returns the body's memory to the account, unless it is still retained. It may be called again
// after that.
func (b *Body) Release() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	if b.retained > 0 {
		b.retained--
		return
	}
	b.account.releaseLocked(b)
}
