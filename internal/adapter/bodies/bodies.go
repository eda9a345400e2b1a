// Package bodies reads complete request and response bodies into memory and limits their total
// size. Request bodies are buffered because a retry needs them again, response bodies because a
// truncated response must never look complete.
package bodies

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minPiece and maxPiece are the lengths of the pieces of a body of unknown length, in bytes.
	// minSizedPiece is that of the first piece if the length is known.
	minPiece      = 4 << 10
	minSizedPiece = 64 << 10
	maxPiece      = 1 << 20
)

var (
	// ErrTooLarge means that a body exceeds its size limit.
	ErrTooLarge = errors.New("body too large")
	// ErrMemoryExhausted means that the memory budget for bodies is used up.
	ErrMemoryExhausted = errors.New("memory budget for bodies exhausted")
)

type (
	// Body is a buffered body. Its content must not be used after Release.
	Body struct {
		Content  Content
		budget   *MemoryBudget
		reserved int64
	}
)

// Release returns the body's memory to the budget. Further calls have no effect.
func (b *Body) Release() {
	if b == nil || b.reserved == 0 {
		return
	}
	b.budget.release(b.reserved)
	b.reserved = 0
}

// Read reads a body of the given content length, or of any length up to limit if contentLength is
// negative. Unless it returns an error, the body must be released.
func (m *MemoryBudget) Read(r io.Reader, contentLength, limit int64) (*Body, error) {
	b := &Body{budget: m}
	if contentLength == 0 {
		return b, nil
	}
	if contentLength > limit {
		return nil, ErrTooLarge
	}
	var err error
	if contentLength > 0 {
		err = b.readSized(r, contentLength)
	} else {
		err = b.readUnsized(r, limit)
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// readSized reads a body of known length in pieces, each of which is allocated once: for 64 KB this takes a
// third of the time and memory of a growing buffer. Memory for a longer body is taken as it arrives, so that
// a length that is announced and not sent takes none.
func (b *Body) readSized(r io.Reader, contentLength int64) error {
	for received := int64(0); received < contentLength; received = int64(b.Content.Len()) {
		piece, err := b.newPiece(min(max(received, minSizedPiece), maxPiece, contentLength-received))
		if err != nil {
			return err
		}
		n, err := fill(r, piece)
		if n > 0 {
			b.Content = append(b.Content, piece[:n])
		}
		if errors.Is(err, io.EOF) && received+int64(n) < contentLength {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read body")
		}
	}
	return nil
}

// newPiece allocates a piece of the body within the budget.
func (b *Body) newPiece(size int64) ([]byte, error) {
	if !b.budget.acquire(size) {
		return nil, ErrMemoryExhausted
	}
	b.reserved += size
	return make([]byte, size), nil
}

// readUnsized reads a body of unknown length.
func (b *Body) readUnsized(r io.Reader, limit int64) error {
	for received := int64(0); received < limit; received = int64(b.Content.Len()) {
		piece, err := b.newPiece(min(max(received, minPiece), maxPiece, limit-received))
		if err != nil {
			return err
		}
		n, err := fill(r, piece)
		if n > 0 {
			b.Content = append(b.Content, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
	return expectEOF(r)
}

// fill reads until the piece is full or an error occurs, which is io.EOF at the end of the body.
func fill(r io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = r.Read(piece[n:])
		n += read
	}
	return n, err
}

// expectEOF returns an error if a body that has reached its limit continues.
func expectEOF(r io.Reader) error {
	if n, err := io.ReadFull(r, make([]byte, 1)); n > 0 {
		return ErrTooLarge
	} else if !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read body")
	}
	return nil
}

// ReadRequest reads the body of a caller's request, which must arrive within timeout: callers that
// announce a body and do not send it would occupy memory and connections indefinitely.
func (m *MemoryBudget) ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*Body, error) {
	if r.ContentLength == 0 || r.Body == nil {
		return &Body{budget: m}, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Wrap(err, "set read deadline")
	}
	b, err := m.forRequest(r.ContentLength).Read(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		b.Release()
		return nil, errors.Wrap(err, "clear read deadline")
	}
	return b, nil
}

// Write writes a response body to a caller, which must read it within timeout: a caller that does
// not read would occupy the memory indefinitely. The deadline is not cleared, because buffered data
// is flushed after the handler has returned.
func Write(w http.ResponseWriter, body Content, timeout time.Duration) error {
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "set write deadline")
	}
	for _, piece := range body {
		if _, err := w.Write(piece); err != nil {
			return errors.Wrap(err, "write body")
		}
	}
	return nil
}
