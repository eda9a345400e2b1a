package forwardhttp

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

// RecordState records the state of a connection; it is the ConnState hook of the HTTP server.
func (l *Listener) RecordState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.begin(eviction.Serving)
		if !tracked.meter.beginRequest() {
			tracked.evict()
		}
	case http.StateIdle:
		tracked.begin(eviction.Idle)
		tracked.meter.endRequest()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked.state, tracked.stateSince = state, time.Now()
	switch state {
	case http.StateActive:
		tracked.requestCount.Add(1)
	case http.StateIdle:
		tracked.phase.CompareAndSwap(phaseReading, phaseIdle)
	}
}

// CloseIdleConnections closes the connections that are idle and have no unread data and no request that
// is being read, and returns how many are left. Shutdown of net/http is unsuitable: it drops requests that it has not read
// yet, and on a busy VM these may have arrived long before.
func (l *Listener) CloseIdleConnections() (remaining int) {
	for _, c := range l.idleConnections() {
		if !c.pipeline.hasUnread() && !hasUnreadData(c.Conn) && c.phase.CompareAndSwap(phaseIdle, phaseClosing) {
			_ = c.Close()
		}
	}
	return l.OpenConnections()
}

// idleConnections lists the connections that are waiting for a request.
func (l *Listener) idleConnections() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*trackedConn
	for c := range l.connections {
		if shutdown.MayClose(c.shutdownState(), time.Since(c.stateSince)) {
			list = append(list, c)
		}
	}
	return list
}

// shutdownState returns what the connection is doing, as far as its shutdown depends on it. The listener's
// mutex is held.
func (c *trackedConn) shutdownState() shutdown.Connection {
	switch c.state {
	case http.StateNew:
		return shutdown.ConnectionNew
	case http.StateIdle:
		return shutdown.ConnectionIdle
	default:
		return shutdown.ConnectionBusy
	}
}

// hasUnreadData reports whether the socket has received data that was not read.
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
