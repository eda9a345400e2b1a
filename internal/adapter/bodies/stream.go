package bodies

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// streamChunk is the most that a Stream reads at once, in bytes.
	streamChunk = 16 << 10
)

type (
	// Stream is a body of known length that is passed on while it arrives. One goroutine fills it
	// and another writes it. It holds the whole body, so that a slow reader does not slow down the
	// sender.
	Stream struct {
		body *Body
		// bytes is the single piece of the body.
		bytes []byte

		mu      sync.Mutex
		changed *sync.Cond
		// received is the number of bytes that have arrived.
		received int
		// err is why the rest of the body will not arrive.
		err error
	}
)

// NewStream returns an empty stream for a body of the given length. It must be released.
func (m *MemoryBudget) NewStream(contentLength int64) (*Stream, error) {
	if !m.acquire(contentLength) {
		return nil, ErrMemoryExhausted
	}
	s := &Stream{body: &Body{budget: m, reserved: contentLength}, bytes: make([]byte, contentLength)}
	s.changed = sync.NewCond(&s.mu)
	return s, nil
}

// Release returns the stream's memory to the budget. Fill and WriteTo must have returned.
func (s *Stream) Release() {
	if s != nil {
		s.body.Release()
	}
}

// Len returns the length of the complete body in bytes.
func (s *Stream) Len() int { return len(s.bytes) }

// Fill reads the whole body from r and wakes the writer for each part that arrives.
func (s *Stream) Fill(r io.Reader) error {
	for s.received < len(s.bytes) {
		n, err := r.Read(s.bytes[s.received:min(s.received+streamChunk, len(s.bytes))])
		if errors.Is(err, io.EOF) && s.received+n < len(s.bytes) {
			err = io.ErrUnexpectedEOF
		}
		s.advance(n, err)
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read body")
		}
	}
	return nil
}

func (s *Stream) advance(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received += n
	if s.received < len(s.bytes) {
		s.err = err
	}
	s.changed.Broadcast()
}

// next waits for bytes after the given offset and returns those that have arrived. It returns an
// error if no more will, and no bytes at the end of the body.
func (s *Stream) next(offset int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.received <= offset && s.err == nil && offset < len(s.bytes) {
		s.changed.Wait()
	}
	if s.received <= offset {
		return nil, s.err
	}
	return s.bytes[offset:s.received], nil
}

// WriteTo writes the body to a caller as it arrives, and returns an error if it does not arrive
// completely or if the caller does not read it within timeout.
func (s *Stream) WriteTo(w http.ResponseWriter, timeout time.Duration) error {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "set write deadline")
	}
	for offset := 0; ; {
		part, err := s.next(offset)
		if err != nil || len(part) == 0 {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return errors.Wrap(err, "write body")
		}
		// The next part may take a while to arrive.
		if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return errors.Wrap(err, "flush body")
		}
		offset += len(part)
	}
}
