package exchange

import (
	"io"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
)

// errClientTakesNoMore is the cause of an answer that ends because its client does not read on.
var errClientTakesNoMore = errors.New("the client takes no more")

// answerBody is the body of an answer that is passed on: the first bytes are kept until
// it is decided what becomes of the answer.
type answerBody struct {
	reader io.Reader
	// length is what the head says, or below 0.
	length int64
	// first holds the first bytes, all of them when complete is true.
	first    []byte
	complete bool
	// size counts the bytes that were read.
	size int64
}

// readFirst reads up to wholeBytes. An answer that says to be longer than any may be is an error.
func (b *answerBody) readFirst() error {
	if b.length > maxAnswerBytes {
		return errors.Wrapf(bounded.ErrTooLong, "an answer of %d bytes", b.length)
	}
	first, err := io.ReadAll(io.LimitReader(b.reader, wholeBytes+1))
	if err != nil {
		return err
	}
	b.first, b.size = first, int64(len(first))
	b.complete = b.size <= wholeBytes
	return nil
}

// total returns the length of the whole body, if it is known.
func (b *answerBody) total() (int64, bool) {
	if b.complete {
		return b.size, true
	}
	return b.length, b.length >= 0
}

// passRest writes what is behind the first bytes to the client as it comes, up to
// maxAnswerBytes in all. The first bytes are given up: their room serves the copy.
func (b *answerBody) passRest(client *clientWriter) error {
	rest := bounded.NewReader(b.reader)
	rest.SetLimit(maxAnswerBytes - b.size)
	buffer := b.first[:cap(b.first)]
	b.first = nil
	for {
		n, err := rest.Read(buffer)
		b.size += int64(n)
		if n > 0 && client.write(buffer[:n]) != nil {
			return errClientTakesNoMore
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
