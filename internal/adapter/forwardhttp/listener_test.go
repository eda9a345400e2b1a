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

// Guards against more connections of callers than the proxy has file descriptors for. Connections
// over the limit must be rejected immediately, open ones must still be served, and a closed one
// must make room for the next.
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
	// isRejected sends a request over a new connection. Rejection is a reset, which may arrive
	// while the connection is still being opened.
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
			t.Error("a connection within the limit is not served")
		}
	}
	if !isRejected() {
		t.Error("a connection over the limit is served")
	}
	if got := rejected.Load(); got != 1 {
		t.Errorf("%d connections rejected, want 1", got)
	}
	_ = open[0].Close()
	for end := time.Now().Add(10 * time.Second); isRejected(); {
		if time.Now().After(end) {
			t.Fatal("no connection is accepted after another was closed")
		}
	}
}

// The utilization of the link is computed from these counts. Bytes that are not counted would hide
// that it is full.
func TestBytesSentToCallersAreCounted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitConnections(inner, 10, func() {})
	var sent atomic.Int64
	l.CountSentBytes(func(n int) { sent.Add(int64(n)) })
	const size = 90 << 10
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	response, err := http.Get("http://" + inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if got := sent.Load(); got < size || got > size+4<<10 {
		t.Errorf("%d bytes counted, want the body of %d and its head", got, size)
	}
}

// Guards against closing a connection, while the process shuts down, whose request has arrived but
// was not read yet.
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
			t.Fatal("the data never arrives")
		}
	}
	if remaining := l.CloseIdleConnections(); remaining != 1 {
		t.Errorf("%d connections are left, want the one with an unread request", remaining)
	}
	if _, err := accepted.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	if remaining := l.CloseIdleConnections(); remaining != 1 {
		t.Errorf("%d connections are left, want the one whose request is being read", remaining)
	}
	l.RecordState(accepted, http.StateActive)
	l.RecordState(accepted, http.StateIdle)
	l.CloseIdleConnections()
	if n, err := c.Read(make([]byte, 64)); !errors.Is(err, io.EOF) {
		t.Errorf("the caller of the idle connection gets %d bytes, error %v, want its end", n, err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(lingerTimeout / 2); l.CloseIdleConnections() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are left, want none: it was idle, had no unread data, and its caller has closed it", l.OpenConnections())
		}
	}
}

// lateConn is a connection on which a request arrives while it is being closed.
type lateConn struct {
	net.Conn
	closed chan struct{}
}

func (c *lateConn) Read(b []byte) (int, error) {
	<-c.closed
	return copy(b, "GET / HTTP/1.1\r\n"), nil
}

func (c *lateConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a request that is read while its connection is being closed: it would run although its
// caller gets no response.
func TestRequestThatCrossesCloseIsNotRead(t *testing.T) {
	l := LimitConnections(nil, 10, func() {})
	c := l.track(&lateConn{closed: make(chan struct{})})
	l.openCount.Add(1)
	l.RecordState(c, http.StateIdle)
	if remaining := l.CloseIdleConnections(); remaining != 0 {
		t.Errorf("%d connections are left, want none", remaining)
	}
	if n, err := c.Read(make([]byte, 64)); n > 0 || err == nil {
		t.Errorf("read %d bytes and error %v, want none and an error", n, err)
	}
}

// Guards against requests that are lost because their connections are in the backlog when the
// process shuts down: the operating system would reset them.
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
		t.Errorf("%d connections are open, want the one in the backlog", got)
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("a request that was sent before Close gets no response: %v", err)
	}
}
