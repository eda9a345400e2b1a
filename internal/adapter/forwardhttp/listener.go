package forwardhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// limitedListener accepts a bounded number of connections at a time.
	limitedListener struct {
		net.Listener
		most    int64
		open    atomic.Int64
		refused func()
	}

	// countedConn is one of them.
	countedConn struct {
		net.Conn
		listener *limitedListener
		once     sync.Once
	}
)

// LimitConnections bounds the connections of callers at one time. Those beyond are
// closed at once, so that their callers go elsewhere: left waiting they would hang,
// and accepted they would take the open files that the proxy needs to reach servers
// and the store. refused is told of each.
func LimitConnections(l net.Listener, most int, refused func()) net.Listener {
	return &limitedListener{Listener: l, most: int64(most), refused: refused}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &countedConn{Conn: c, listener: l}, nil
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

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
