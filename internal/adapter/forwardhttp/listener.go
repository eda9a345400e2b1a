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
		most    int64
		open    atomic.Int64
		refused func()

		mu sync.Mutex
		// connections are those that are open.
		connections map[*countedConn]bool
		// waiting were opened and not accepted when the listener was closed.
		waiting []net.Conn
		closed  bool
	}

	// countedConn is one of them.
	countedConn struct {
		net.Conn
		listener *Listener
		once     sync.Once
		// state is what its server last said of it, and since when; with the listener's
		// lock.
		state http.ConnState
		since time.Time
	}
)

// LimitConnections bounds the connections of callers at one time. Those beyond are
// closed at once, so that their callers go elsewhere: left waiting they would hang,
// and accepted they would take the open files that the proxy needs to reach servers
// and the store. refused is told of each.
func LimitConnections(l net.Listener, most int, refused func()) *Listener {
	return &Listener{Listener: l, most: int64(most), refused: refused, connections: make(map[*countedConn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if c = l.next(); c == nil {
				return nil, err
			}
		}
		if l.open.Add(1) <= l.most {
			return l.hold(c), nil
		}
		l.open.Add(-1)
		l.refused()
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
		l.waiting = takeWaiting(l.Listener)
	}
	return l.Listener.Close()
}

// Open counts the connections that are open, those that wait to be accepted after the
// listener was closed included.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.open.Load()) + len(l.waiting)
}

// hold notes an open connection.
func (l *Listener) hold(c net.Conn) *countedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := &countedConn{Conn: c, listener: l, since: time.Now()}
	l.connections[held] = true
	return held
}

func (l *Listener) drop(c *countedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.Add(-1)
	delete(l.connections, c)
}

// next is a connection that waited when the listener was closed, nil for none.
func (l *Listener) next() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil
	}
	c := l.waiting[0]
	l.waiting = l.waiting[1:]
	return c
}

// takeWaiting accepts the connections that wait, without waiting for more.
func takeWaiting(l net.Listener) []net.Conn {
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
			if c := connOf(accepted); c != nil {
				list = append(list, c)
			}
		}
	})
	if err != nil {
		klog.InfoS("connections that waited to be accepted are reset", "error", err.Error())
	}
	return list
}

// connOf makes a connection of a socket, nil if that fails; the socket is then closed.
func connOf(socket int) net.Conn {
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
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.drop(c) })
	return c.Conn.Close()
}
