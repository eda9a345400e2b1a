package forwardhttp

import (
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
)

type (
	// Listener accepts a bounded number of connections at a time. Once it is closed it
	// still hands over those that had been opened by then.
	Listener struct {
		net.Listener
		maxOpen   int64
		openCount atomic.Int64
		onReject  func()

		mu sync.Mutex
		// connections are those that are open.
		connections map[*trackedConn]bool
		// backlog were opened and not accepted when the listener was closed.
		backlog []net.Conn
		closed  bool
	}

	// trackedConn is one of them.
	trackedConn struct {
		net.Conn
		listener *Listener
		once     sync.Once
		// state is what its server last said of it, and since when; with the listener's
		// lock.
		state      http.ConnState
		stateSince time.Time
	}
)

// LimitConnections bounds the connections of callers at one time. Those beyond are
// closed at once, so that their callers go elsewhere: left waiting they would hang,
// and accepted they would take the open files that the proxy needs to reach servers
// and the store. refused is told of each.
func LimitConnections(l net.Listener, maxOpen int, onReject func()) *Listener {
	return &Listener{Listener: l, maxOpen: int64(maxOpen), onReject: onReject, connections: make(map[*trackedConn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if c = l.nextFromBacklog(); c == nil {
				return nil, err
			}
		}
		if l.openCount.Add(1) <= l.maxOpen {
			return l.track(c), nil
		}
		l.openCount.Add(-1)
		l.onReject()
		if tcp, ok := c.(*net.TCPConn); ok {
			// A reset tells the caller at once; it has sent nothing yet.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close implements net.Listener. Callers whose connections wait to be accepted may have
// sent their requests; the system would reset them.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.backlog = acceptBacklog(l.Listener)
	}
	return l.Listener.Close()
}

// OpenConnections counts the connections that are open, those that wait to be accepted after the
// listener was closed included.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.openCount.Load()) + len(l.backlog)
}

// track notes an open connection.
func (l *Listener) track(c net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &trackedConn{Conn: c, listener: l, stateSince: time.Now()}
	l.connections[tracked] = true
	return tracked
}

func (l *Listener) untrack(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openCount.Add(-1)
	delete(l.connections, c)
}

// nextFromBacklog is a connection that waited when the listener was closed, nil for none.
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

// acceptBacklog accepts the connections that wait, without waiting for more.
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
		klog.InfoS("connections that waited to be accepted are reset", "error", err.Error())
	}
	return list
}

// connFromSocket makes a connection of a socket, nil if that fails; the socket is then closed.
func connFromSocket(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "caller")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		klog.InfoS("connection that waited to be accepted is closed", "error", err.Error())
		return nil
	}
	return c
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.listener.untrack(c) })
	return c.Conn.Close()
}
