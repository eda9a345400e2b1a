package serverhttp

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
)

const (
	// maxHeadBytes and maxHeadFields limit the status line and the header of a response.
	maxHeadBytes  = 64 << 10
	maxHeadFields = 256
	// headMemoryFactor is how much memory a long head takes while it is parsed, relative to its size.
	headMemoryFactor = 4
	// maxInterimResponses limits the interim (1xx) responses before a final one.
	maxInterimResponses = 8
)

var (
	errHeadTooLarge        = errors.New("head of the response is too large")
	errTooManyInterim      = errors.New("too many interim responses")
	errHeadMemoryExhausted = errors.Wrap(bodies.ErrMemoryExhausted, "read head of the response")
)

type (
	// headLimiter reads from a server and limits what is read for the head of one response. The first
	// read is not charged to the memory budget: its buffer belongs to the connection.
	headLimiter struct {
		io.Reader
		// reservation is the memory of the head that is being read, or nil.
		reservation   *bodies.Reservation
		bytes, fields int
		syntax        headSyntax
		// err is set once the head has exceeded a limit.
		err error
	}
)

// begin starts the head of a response, whose memory is charged to m. The first bytes of the head may have
// been read before, behind an interim response.
func (l *headLimiter) begin(m *bodies.MemoryBudget, first []byte) {
	l.reservation, l.bytes, l.fields, l.syntax, l.err = m.NewReservation(), 0, 0, headSyntax{}, nil
	l.syntax.feed(first)
}

// end ends the head and returns its reservation.
func (l *headLimiter) end() *bodies.Reservation {
	r := l.reservation
	l.reservation = nil
	return r
}

// Read implements io.Reader. While a head is being read, all that was read before belongs to it.
func (l *headLimiter) Read(b []byte) (int, error) {
	if l.reservation == nil {
		return l.Reader.Read(b)
	}
	if l.bytes >= maxHeadBytes || l.fields > maxHeadFields {
		l.err = errHeadTooLarge
		return 0, l.err
	}
	n, err := l.Reader.Read(b)
	if l.bytes > 0 && !l.reservation.TryGrow(int64(headMemoryFactor*n)) {
		l.err = errHeadMemoryExhausted
		return 0, l.err
	}
	l.bytes += n
	l.syntax.feed(b[:n])
	l.fields += bytes.Count(b[:n], []byte{'\n'})
	return n, err
}

// readHead reads the head of the next response, interim ones included. Unless it returns an error, the
// reservation must be released.
func (c *conn) readHead(m *http.Request, memory *bodies.MemoryBudget) (*http.Response, *bodies.Reservation, error) {
	// As many bytes as are buffered can be peeked without an error.
	first, _ := c.reader.Peek(c.reader.Buffered())
	c.head.begin(memory, first)
	response, err := http.ReadResponse(c.reader, m)
	reservation := c.head.end()
	if err == nil {
		// The Close of net/http reads all of the body, however long the server goes on.
		response.Body = io.NopCloser(response.Body)
	}
	if c.head.err != nil {
		// The parser may report an incomplete line instead.
		err = c.head.err
	}
	if err == nil && countFields(response.Header) > maxHeadFields {
		err = errHeadTooLarge
	}
	if err == nil {
		err = c.head.syntax.check(response)
	}
	if err != nil {
		reservation.Release()
		return nil, nil, err
	}
	return response, reservation, nil
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}
