package forwardhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
)

const (
	// headByteMemory and headFieldMemory are how much memory a byte and a field of a head take while its
	// request is parsed and forwarded. A short field costs much more than its bytes.
	headByteMemory  = 2
	headFieldMemory = 256
	// freeHeadMemory is the part of a head that is not reserved, because the limit on connections
	// accounts for it: the heads of most clients.
	freeHeadMemory = 8 << 10
	// headMemoryStep is how much memory is reserved at once.
	headMemoryStep = 4 << 10
	// earlyRequestMemory is the memory of a request before its turn besides its head.
	earlyRequestMemory = 16 << 10
	// rejectionTimeout is how long a client may take to accept the response to a head that is rejected.
	rejectionTimeout = 500 * time.Millisecond
	// readBufferSize is the size of the buffer with which net/http reads a connection.
	readBufferSize = 4 << 10
)

var (
	errHeadTooLarge  = errors.New("head of the request is too large")
	errNoMemoryHeads = errors.New("memory for heads of requests exhausted")
)

type (
	// HeadLimits limits the heads of the requests of a listener.
	HeadLimits struct {
		// Memory is shared by all heads. MaxBytes returns the length of the longest head, zero for no
		// limit. As in net/http, a head may be longer by the buffer with which it is read.
		Memory   *bodies.MemoryBudget
		MaxBytes func() int64
	}

	// headMeter counts the bytes and fields of the head that net/http is reading from a connection, and
	// reserves memory for it until its request has been answered.
	headMeter struct {
		conn   *trackedConn
		limits HeadLimits
		// rejection is the error of a head that was rejected. It stays: net/http's parser ignores an error
		// of a read whose bytes it does not need at once. Only read uses it.
		rejection error

		mu          sync.Mutex
		reservation *bodies.Reservation
		reserved    int64
		head        headSize
		// complete is set once the end of the head was read, emptyLine while the current line is empty.
		complete, emptyLine bool
		// behind is at most what was read behind the head: it may belong to the next one.
		behind headSize
	}

	// headSize is the size of a head.
	headSize struct {
		bytes, fields int64
	}
)

// LimitHeads limits the heads of requests. It must be called before the first Accept.
func (l *Listener) LimitHeads(limits HeadLimits) {
	l.newMeter = func(c *trackedConn) *headMeter {
		return &headMeter{conn: c, limits: limits, reservation: limits.Memory.NewReservation(), emptyLine: true}
	}
}

// sizeOf returns the size of a complete head.
func sizeOf(text []byte) headSize {
	return headSize{bytes: int64(len(text)), fields: int64(bytes.Count(text, []byte{'\n'}))}
}

// memory returns how much memory a head takes.
func (s headSize) memory() int64 { return headByteMemory*s.bytes + headFieldMemory*s.fields }

// read counts bytes that were read from the connection. It returns an error if the head is rejected, and the
// client got a response that says so. m may be nil.
func (m *headMeter) read(b []byte) error {
	if m == nil {
		return nil
	}
	if m.rejection != nil || len(b) == 0 {
		return m.rejection
	}
	err := m.count(b)
	if errors.Is(err, errNoMemoryHeads) && m.conn.listener.Evict(eviction.ForHead) {
		err = m.tryReserve()
	}
	if err != nil && m.conn.pipeline.hasStartedCurrent() {
		// The head was charged when the request was started before its turn, and may have run since.
		err = nil
	}
	switch {
	case errors.Is(err, errHeadTooLarge):
		m.reject(http.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, errNoMemoryHeads):
		m.reject(http.StatusServiceUnavailable)
	default:
		return nil
	}
	// net/http sends a response of its own to errors of other kinds.
	m.rejection = &net.OpError{Op: "read", Net: "tcp", Addr: m.conn.RemoteAddr(), Err: err}
	return m.rejection
}

// count counts bytes and reserves the memory that they need.
func (m *headMeter) count(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.complete {
		m.readBehind(b)
		return nil
	}
	n := m.scan(b)
	m.head.bytes += int64(n)
	if n < len(b) {
		m.readBehind(b[n:])
	}
	if limit := m.limits.MaxBytes(); limit > 0 && m.head.bytes > limit+readBufferSize {
		return errHeadTooLarge
	}
	return m.reserve()
}

// scan counts the fields in the next bytes of the head, and returns how many bytes belong to it.
func (m *headMeter) scan(b []byte) int {
	for i, c := range b {
		switch c {
		case '\n':
			if m.emptyLine && m.head.fields > 0 {
				m.complete = true
				return i + 1
			}
			if !m.emptyLine {
				m.head.fields++
			}
			m.emptyLine = true
		case '\r':
		default:
			m.emptyLine = false
		}
	}
	return len(b)
}

// readBehind counts bytes behind the head. What net/http has read of them beyond the request is in its
// buffer, and part of the last read: a single byte is read only to notice that the client is gone.
func (m *headMeter) readBehind(b []byte) {
	if m.conn.pipeline.isFramed() {
		return
	}
	if len(b) > 1 {
		m.behind = headSize{}
	}
	size := sizeOf(b[max(0, len(b)-readBufferSize):])
	m.behind.bytes += size.bytes
	m.behind.fields += size.fields
}

// reserve reserves the memory that the head needs. m.mu must be held.
func (m *headMeter) reserve() error {
	need := m.head.memory() - freeHeadMemory - m.reserved
	if need <= 0 {
		return nil
	}
	need = max(need, headMemoryStep)
	if !m.reservation.TryGrow(need) {
		return errNoMemoryHeads
	}
	m.reserved += need
	return nil
}

func (m *headMeter) tryReserve() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserve()
}

// reject responds to a head that is not read further. net/http is waiting for the head, so no other
// response is being written.
func (m *headMeter) reject(status int) {
	klog.V(1).InfoS("request head rejected", "client", m.conn.RemoteAddr().String(), "status", status, "length", m.head.bytes, "fields", m.head.fields)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.FormatFloat(noMemoryRetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	if m.conn.SetWriteDeadline(time.Now().Add(rejectionTimeout)) == nil {
		_, _ = io.WriteString(m.conn, text+"\r\n")
	}
}

// beginRequest is called when net/http has parsed a head. It reports false if there is no memory for a head
// that was read together with the request before it. m may be nil.
func (m *headMeter) beginRequest() bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.complete = true
	return m.reserve() == nil
}

// endRequest is called when a request has been answered: what follows is the next head.
func (m *headMeter) endRequest() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
	m.reserved, m.head, m.behind = 0, m.behind, headSize{}
	m.complete, m.emptyLine = false, true
}

// release releases the memory of the head. m may be nil.
func (m *headMeter) release() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
	m.reserved = 0
}
