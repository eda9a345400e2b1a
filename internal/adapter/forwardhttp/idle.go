package forwardhttp

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// newConnGracePeriod is how long a new connection may take to bring its first byte when its
	// process stops.
	newConnGracePeriod = 500 * time.Millisecond
)

// RecordState takes in the state of a connection, as its server tells it.
func (l *Listener) RecordState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked.state, tracked.stateSince = state, time.Now()
}

// CloseIdleConnections closes the connections on which nothing happens, and tells how many are left.
// The library's server does not do: once it shuts down it drops requests that it had not
// read, and on a busy VM these may have come long before.
func (l *Listener) CloseIdleConnections() (remaining int) {
	for _, c := range l.idleConnections() {
		if !hasUnreadData(c.Conn) {
			_ = c.Close()
		}
	}
	return l.OpenConnections()
}

// idleConnections lists the connections that wait for a request.
func (l *Listener) idleConnections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*trackedConn
	for c := range l.connections {
		if c.state == http.StateIdle || c.state == http.StateNew && time.Since(c.stateSince) > newConnGracePeriod {
			list = append(list, c)
		}
	}
	return list
}

// hasUnreadData reports whether bytes have come that nobody has read.
func hasUnreadData(c net.Conn) bool {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
