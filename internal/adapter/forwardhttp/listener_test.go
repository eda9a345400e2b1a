package forwardhttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// More callers connect than the proxy has files for. Those beyond the bound must be
// told at once, those connected be served on, and a place that is given up must
// serve the next caller.
func TestConnectionsOverLimitAreRejected(t *testing.T) {
	const maxOpen = 3
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var rejected atomic.Int32
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(LimitConnections(inner, maxOpen, func() { rejected.Add(1) })) }()
	defer func() { _ = server.Close() }()
	isServed := func(c net.Conn) bool {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}
	connect := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	// isRejected asks over a new connection. The refusal is a reset, which may
	// arrive while the connection is still being opened.
	isRejected := func() bool {
		c, err := net.Dial("tcp", inner.Addr().String())
		if errors.Is(err, syscall.ECONNRESET) {
			return true
		}
		if err != nil {
			t.Fatal(err)
		}
		return !isServed(c)
	}
	var open []net.Conn
	for range maxOpen {
		c := connect()
		open = append(open, c)
		if !isServed(c) {
			t.Error("a caller within the bound is not served")
		}
	}
	if !isRejected() {
		t.Error("a caller beyond the bound is served")
	}
	if got := rejected.Load(); got != 1 {
		t.Errorf("%d connections refused, want 1", got)
	}
	_ = open[0].Close()
	for end := time.Now().Add(10 * time.Second); isRejected(); {
		if time.Now().After(end) {
			t.Fatal("a place that was given up serves nobody")
		}
	}
}

// Guards against a request that came while its process began to stop, and was not read yet.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitConnections(inner, 10, func() {})
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.RecordState(accepted, http.StateIdle)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !hasUnreadData(accepted.(*trackedConn).Conn); {
		if time.Now().After(end) {
			t.Fatal("the bytes never come")
		}
	}
	if left := l.CloseIdleConnections(); left != 1 {
		t.Errorf("%d connections are left, want the one with an unread request", left)
	}
	if _, err := accepted.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if left := l.CloseIdleConnections(); left != 0 {
		t.Errorf("%d connections are left, want none: it is idle and all is read", left)
	}
}

// Guards against requests of callers whose connections wait to be accepted when a process
// stops: the system would reset them.
func TestBacklogIsServedAfterClose(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitConnections(inner, 10, func() {})
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := l.OpenConnections(); got != 1 {
		t.Errorf("%d connections are open, want the one that waits", got)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("a request that was sent before the end gets no answer: %v", err)
	}
}
