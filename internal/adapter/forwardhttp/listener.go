package forwardhttp

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
)

const (
	// Phases of a connection: no byte of a request was read since it became idle, a request is being
	// read or served, or CloseIdleConnections closes the connection.
	phaseIdle = iota
	phaseReading
	phaseClosing
)

const (
	// lingerTimeout and maxLingerBytes bound how long and how much is read from a caller after the proxy has
	// closed its side of the connection.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 4 << 20
	// maxWriteBytes is how much is written to a client at once, so that its progress can be seen.
	maxWriteBytes = 64 << 10
	// minEvictionPause and maxEvictionPause bound the pause after a search for a connection to evict that
	// found none.
	minEvictionPause = 2 * time.Millisecond
	maxEvictionPause = 20 * time.Millisecond
	// evictionSample is how many connections, in random order, are compared if one of them may be evicted:
	// a crowd causes a search with each connection that it opens.
	evictionSample = 256
)

type (
	// Listener limits the number of open connections, and closes those of clients that have stalled if
	// others need the room. After Close, Accept still returns the connections that were established
	// before.
	Listener struct {
		net.Listener
		startedAt time.Time
		patience  eviction.Patience
		maxOpen   int64
		openCount atomic.Int64
		onReject  func()
		onEvict   func()
		onSent    func(int)
		// newMeter is nil if the memory of heads is not limited.
		newMeter func(*trackedConn) *headMeter
		// newMessageMeter is set if the connections carry calls of peers instead of HTTP.
		newMessageMeter func() *messageMeter
		// newPipeline is nil if requests of a connection run one after the other.
		newPipeline func(net.Conn) *pipeline

		mu sync.Mutex
		// connections are the open connections.
		connections map[*trackedConn]bool
		// noVictimUntil is when a connection can be evicted at the earliest, by purpose.
		noVictimUntil [eviction.ForBody + 1]time.Time
		// backlog holds the connections that were established but not accepted when the listener
		// was closed.
		backlog []net.Conn
		closed  bool
	}

	// trackedConn is an open connection of a Listener.
	trackedConn struct {
		net.Conn
		listener *Listener
		once     sync.Once
		// pipeline is nil if requests run one after the other.
		pipeline *pipeline
		// meter is nil if the memory of heads is not limited.
		meter *headMeter
		// messages is nil unless the connection carries calls of peers.
		messages *messageMeter
		// activity is an eviction.Activity. progressAt is when the client last made progress in it, since
		// the start of the listener, and progress the number of bytes since then.
		activity   atomic.Int32
		progressAt atomic.Int64
		progress   atomic.Int64
		// state is the last state that the HTTP server has reported, at stateSince. Both are
		// guarded by the listener's mutex.
		state      http.ConnState
		stateSince time.Time
		// phase tells whether bytes of a request were read since the connection became idle. net/http
		// reports a request only once it has read the whole head.
		phase atomic.Int32
		// requestCount is the number of requests that net/http has read.
		requestCount atomic.Int32
		// callerClosed is set once the caller has closed its side.
		callerClosed atomic.Bool
	}
)

// LimitConnections limits the number of open connections of callers. Further connections are closed
// immediately unless a stalled connection can be closed instead, so that their callers use another
// proxy: in the backlog they would hang, and accepted they would use up the file descriptors that the
// proxy needs to connect to servers and the store. onReject is called for each.
func LimitConnections(l net.Listener, maxOpen int, onReject func()) *Listener {
	return &Listener{
		Listener: l, startedAt: time.Now(), patience: eviction.ForwardPatience, maxOpen: int64(maxOpen), onReject: onReject, onEvict: func() {}, onSent: func(int) {},
		connections: make(map[*trackedConn]bool),
	}
}

// CountEvictions calls count for each connection that is closed because its client has stalled and others
// need the room. It must be called before the first Accept.
func (l *Listener) CountEvictions(count func()) { l.onEvict = count }

// CountSentBytes calls count with the number of bytes of each write to a caller. It must be called
// before the first Accept.
func (l *Listener) CountSentBytes(count func(int)) { l.onSent = count }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if c = l.nextFromBacklog(); c == nil {
				return nil, err
			}
		}
		if l.openCount.Add(1) <= l.maxOpen || l.Evict(eviction.ForConnection) {
			return l.track(c), nil
		}
		l.openCount.Add(-1)
		l.onReject()
		if tcp, ok := c.(*net.TCPConn); ok {
			// Close with a reset, which the caller notices immediately. It has sent nothing yet.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close implements net.Listener. It first accepts the connections in the backlog: their callers may
// have sent requests already, and the operating system would reset them.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.backlog = acceptBacklog(l.Listener)
	}
	return l.Listener.Close()
}

// OpenConnections returns the number of open connections, including those that are still to be
// returned by Accept after Close.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.openCount.Load()) + len(l.backlog)
}

// track adds an open connection.
func (l *Listener) track(c net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &trackedConn{Conn: c, listener: l, stateSince: time.Now()}
	tracked.begin(eviction.AwaitingHead)
	if l.newMeter != nil {
		tracked.meter = l.newMeter(tracked)
	}
	if l.newMessageMeter != nil {
		tracked.messages = l.newMessageMeter()
	}
	if l.newPipeline != nil {
		tracked.pipeline = l.newPipeline(c)
	}
	l.connections[tracked] = true
	return tracked
}

func (l *Listener) untrack(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections[c] {
		l.openCount.Add(-1)
		delete(l.connections, c)
	}
}

// nextFromBacklog removes and returns a connection that was in the backlog at Close, or nil.
func (l *Listener) nextFromBacklog() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.backlog) == 0 {
		return nil
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c
}

// acceptBacklog accepts all connections in the backlog of the socket without blocking.
func acceptBacklog(l net.Listener) []net.Conn {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	var list []net.Conn
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			if c := connFromSocket(accepted); c != nil {
				list = append(list, c)
			}
		}
	})
	if err != nil {
		klog.InfoS("can't accept the backlog of the listener; its connections are reset", "error", err.Error())
	}
	return list
}

// connFromSocket returns a connection for a socket. If that fails it closes the socket and returns
// nil.
func connFromSocket(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "caller")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		klog.InfoS("can't use a connection of the backlog; it is closed", "error", err.Error())
		return nil
	}
	return c
}

// Read implements net.Conn. It drops what arrives once CloseIdleConnections has chosen the connection.
func (c *trackedConn) Read(b []byte) (int, error) {
	read := c.Conn.Read
	if c.pipeline != nil {
		read = c.pipeline.Read
	}
	n, err := read(b)
	if errors.Is(err, io.EOF) {
		c.callerClosed.Store(true)
	}
	c.recordRead(n)
	if rejection := c.meter.read(b[:n]); rejection != nil {
		return 0, rejection
	}
	rejection := c.messages.read(n)
	if rejection != nil && c.listener.Evict(eviction.ForHead) {
		rejection = c.messages.read(0)
	}
	if rejection != nil {
		return 0, rejection
	}
	if n > 0 && !c.phase.CompareAndSwap(phaseIdle, phaseReading) && c.phase.Load() == phaseClosing {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (written int, err error) {
	before := c.begin(eviction.Writing)
	defer func() { c.begin(before) }()
	for len(b) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(b[:min(len(b), maxWriteBytes)])
		c.listener.onSent(n)
		c.recordProgress(n)
		b, written = b[n:], written+n
	}
	if c.messages != nil {
		// The call is answered.
		c.messages.reset()
		before = eviction.Idle
	}
	return written, err
}

// Close implements net.Conn. Unless the caller has closed its side, the connection stays open until it does,
// within limits: bytes that arrive at a closed socket reset the connection, and with it a response that the
// caller has not received completely.
func (c *trackedConn) Close() error {
	c.pipeline.close()
	c.once.Do(func() {
		tcp, ok := c.Conn.(*net.TCPConn)
		if !ok || c.callerClosed.Load() || tcp.CloseWrite() != nil {
			c.release()
			return
		}
		c.begin(eviction.Closing)
		go func() {
			defer c.release()
			if tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
				_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
			}
		}()
	})
	return nil
}

// release closes the socket.
func (c *trackedConn) release() {
	c.listener.untrack(c)
	c.meter.release()
	c.messages.reset()
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.V(1).InfoS("can't close the connection of a caller", "error", err.Error())
	}
}
