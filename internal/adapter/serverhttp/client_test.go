package serverhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// testTimeout limits waiting for an event; only a failing test waits this long.
	testTimeout = 10 * time.Second
)

var (
	testHeaders = Headers{
		AttemptID: "Attempt", Deadline: "Time-Left", InstanceID: "Instance", Load: "Load", NotRun: "Not-Run", Seal: "Seal",
	}
)

type (
	// rawServer lets a function write the response to each request. The function returns whether
	// the connection stays open.
	rawServer struct {
		listener    net.Listener
		connections atomic.Int32
		requests    atomic.Int32
	}
)

// startRawServer starts a server. respond receives the number of the connection and of the request
// on it, both starting with 1.
func startRawServer(t *testing.T, respond func(conn, request int, r *http.Request, w net.Conn) (more bool)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, int(s.connections.Add(1)), respond)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, number int, respond func(int, int, *http.Request, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !respond(number, n, r, c) {
			return
		}
	}
}

func (s *rawServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func okResponse(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func newTestClient() *Client {
	return NewClient(testHeaders, bodies.NewMemoryBudget(64<<20), time.Now, func() {})
}

func send(c *Client, s *rawServer, attempt string) (steering.Attempt, *Response) {
	return c.Send(context.Background(), newRequest(s, attempt))
}

func newRequest(s *rawServer, attempt string) Request {
	return Request{
		Address: s.address(), InstanceID: "i-1", Method: http.MethodGet, Host: "example", Target: "/a?b=c",
		Header: http.Header{"Attempt": {attempt}}, AttemptID: attempt,
		Deadline: time.Now().Add(5 * time.Second), DialTimeout: time.Second,
	}
}

func expectResult(t *testing.T, a steering.Attempt, response *Response, result steering.Result, body string) {
	t.Helper()
	if a.Result != result {
		t.Fatalf("result is %s (%v), want %s", a.Result, a.Err, result)
	}
	if result == steering.ResultResponded && string(response.Body.Content.Bytes()) != body {
		t.Errorf("body is %q, want %q", response.Body.Content.Bytes(), body)
	}
}

// The utilization of the link is computed from these counts. Bytes that are not counted would hide
// that it is full.
func TestBytesSentToServersAreCounted(t *testing.T) {
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), ""))
		return true
	})
	c := newTestClient()
	var sent atomic.Int64
	c.CountSentBytes(func(n int) { sent.Add(int64(n)) })
	const size = 90 << 10
	r := newRequest(s, "one")
	r.Method, r.Body = http.MethodPost, bodies.NewContent(make([]byte, size))
	a, response := c.Send(context.Background(), r)
	expectResult(t, a, response, steering.ResultResponded, "")
	// The last write of a long body may be counted after the response has arrived.
	for end := time.Now().Add(testTimeout); sent.Load() < size && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := sent.Load(); got < size || got > size+4<<10 {
		t.Errorf("%d bytes counted, want the body of %d and its head", got, size)
	}
}

// Guards against a duplicate response that is returned to the next request: a server responds
// twice, and the second response has arrived when the connection is reused.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		id := r.Header.Get("Attempt")
		_, _ = io.WriteString(w, okResponse(id, "to "+id)+okResponse(id, "again to "+id))
		return true
	})
	c := newTestClient()
	for _, id := range []string{"one", "two", "three"} {
		a, response := send(c, s, id)
		expectResult(t, a, response, steering.ResultResponded, "to "+id)
	}
}

// Guards against a duplicate response that arrives late: after the next request was sent on the
// connection and before its response. The attempt ID shows that it belongs to another request.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	s := startRawServer(t, func(_, n int, r *http.Request, w net.Conn) bool {
		id := r.Header.Get("Attempt")
		if n == 2 {
			_, _ = io.WriteString(w, okResponse("one", "again to one"))
		}
		_, _ = io.WriteString(w, okResponse(id, "to "+id))
		return true
	})
	c := newTestClient()
	for _, id := range []string{"one", "two"} {
		a, response := send(c, s, id)
		expectResult(t, a, response, steering.ResultResponded, "to "+id)
	}
	if a, response := send(c, s, "three"); response == nil || string(response.Body.Content.Bytes()) != "to three" {
		t.Errorf("result after a stray response is %s, want the response on a new connection", a.Result)
	}
	if got := s.connections.Load(); got != 2 {
		t.Errorf("%d connections were opened, want 2: the one with a stray response is not reused", got)
	}
}

func TestAttemptsReportConnectionAndStrayResponses(t *testing.T) {
	s := startRawServer(t, func(_, n int, r *http.Request, w net.Conn) bool {
		if n == 2 {
			_, _ = io.WriteString(w, okResponse("one", "again to one"))
		}
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), ""))
		return true
	})
	c, strays := newTestClient(), 0
	c.CountStrayResponses(func() { strays++ })
	type report struct {
		connection uint64
		uses       int
	}
	for i, want := range []report{{1, 1}, {1, 2}, {2, 1}} {
		a, _ := send(c, s, []string{"one", "two", "three"}[i])
		if got := (report{a.Connection, a.ConnectionUses}); got != want {
			t.Errorf("attempt %d: got connection and uses %v, want %v", i+1, got, want)
		}
	}
	if strays != 1 {
		t.Errorf("got %d stray responses, want 1", strays)
	}
}

// Guards against trusting a not-run response without an attempt ID on a reused connection: it may
// belong to another request, and this one may be running.
func TestNotRunWithoutIDOnReusedConnectionIsIgnored(t *testing.T) {
	s := startRawServer(t, func(_, n int, r *http.Request, w net.Conn) bool {
		if n == 1 {
			_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), "fine"))
			return true
		}
		_, _ = io.WriteString(w, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	c := newTestClient()
	send(c, s, "one")
	a, response := send(c, s, "two")
	expectResult(t, a, response, steering.ResultConnectionLost, "")
}

// Guards against a response that is taken for the server's word that a request has not run although it
// does not name the request.
func TestNotRunWithoutIDIsNoProof(t *testing.T) {
	for head, want := range map[string]steering.Result{
		"HTTP/1.1 503 Busy\r\nNot-Run: 1":               steering.ResultConnectionLost,
		"HTTP/1.1 400 No ID\r\nNot-Run: 1":              steering.ResultConnectionLost,
		"HTTP/1.1 421 Other":                            steering.ResultConnectionLost,
		"HTTP/1.1 503 Busy\r\nAttempt:one\r\nNot-Run:1": steering.ResultRejected,
		"HTTP/1.1 500 Failed":                           steering.ResultServerError,
	} {
		s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
			_, _ = io.WriteString(w, head+"\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		a, response := send(newTestClient(), s, "one")
		expectResult(t, a, response, want, "")
	}
}

// Guards against automatic retries when a reused connection breaks as a request is sent: the server
// may have run the request.
func TestNoRetryOnBrokenReusedConnection(t *testing.T) {
	s := startRawServer(t, func(_, n int, r *http.Request, w net.Conn) bool {
		if n > 1 {
			return false
		}
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), "fine"))
		return true
	})
	c := newTestClient()
	send(c, s, "one")
	a, response := send(c, s, "two")
	expectResult(t, a, response, steering.ResultConnectionLost, "")
	if got := s.requests.Load(); got != 2 {
		t.Errorf("the server read %d requests, want 2", got)
	}
}

// Guards against a truncated response that is taken for a complete one, with or without
// Content-Length.
func TestPartialResponseIsConnectionLost(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart",
		"chunked": "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"header":  "HTTP/1.1 200 OK\r\nAttempt: o",
		"garbage": "\x00\x01not an answer\r\n\r\n",
		"nothing": "",
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
				_, _ = io.WriteString(w, text)
				return false
			})
			a, response := send(newTestClient(), s, "one")
			expectResult(t, a, response, steering.ResultConnectionLost, "")
		})
	}
}

// Checks that a response without a length is complete if the server closed the connection, but not
// if the connection was reset.
func TestResponseWithoutLength(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\n\r\nall of it"
	closed := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, text)
		return false
	})
	a, response := send(newTestClient(), closed, "one")
	expectResult(t, a, response, steering.ResultResponded, "all of it")
	reset := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, text)
		time.Sleep(50 * time.Millisecond)
		_ = w.(*net.TCPConn).SetLinger(0)
		return false
	})
	a, response = send(newTestClient(), reset, "one")
	expectResult(t, a, response, steering.ResultConnectionLost, "")
}

// Guards against reusing a connection on which the server responded before it had read the whole
// body: it would read the next request as the rest of that body.
func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		id := r.Header.Get("Attempt")
		_, _ = io.WriteString(w, "HTTP/1.1 413 Too Large\r\nAttempt: "+id+"\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	})
	c := newTestClient()
	long := newRequest(s, "one")
	long.Method, long.Body = http.MethodPost, bodies.NewContent([]byte(strings.Repeat("x", 32<<20)))
	a, response := c.Send(context.Background(), long)
	if a.Result != steering.ResultResponded || response.Status != http.StatusRequestEntityTooLarge {
		t.Fatalf("result is %s (%v), want the server's response", a.Result, a.Err)
	}
	send(c, s, "two")
	if got := s.connections.Load(); got != 2 {
		t.Errorf("%d connections were opened, want 2", got)
	}
}

// Guards against a server that keeps working after the caller has disconnected: only the close of
// its connection tells it.
func TestCallerDisconnectClosesConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, _ = w.Read(make([]byte, 1))
		closed <- time.Now()
		return false
	})
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, leave)
	a, response := newTestClient().Send(ctx, newRequest(s, "one"))
	expectResult(t, a, response, steering.ResultCallerGone, "")
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the server is still open")
	}
}

// Checks that a request that reached no server is distinguished from one that may have run.
func TestConnectionRefusedIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l}
	_ = l.Close()
	a, response := send(newTestClient(), s, "one")
	expectResult(t, a, response, steering.ResultUnreachable, "")
}

func TestNoResponseInTimeIsTimeout(t *testing.T) {
	s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, _ = w.Read(make([]byte, 1))
		return false
	})
	r := newRequest(s, "one")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	a, response := newTestClient().Send(context.Background(), r)
	expectResult(t, a, response, steering.ResultTimeout, "")
}

// Guards against forwarding a 200 of another process at the server's address: it has no seal.
func TestSuccessWithoutSealIsConnectionLost(t *testing.T) {
	s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: one\r\nContent-Length: 2\r\n\r\nhi")
		return true
	})
	a, response := send(newTestClient(), s, "one")
	expectResult(t, a, response, steering.ResultConnectionLost, "")
}

func TestResultsByStatus(t *testing.T) {
	for _, c := range []struct {
		head         string
		want         steering.Result
		claimsNotRun bool
	}{
		{"HTTP/1.1 503 Full\r\nNot-Run: 1", steering.ResultRejected, false},
		{"HTTP/1.1 421 Other\r\nSeal: s", steering.ResultWrongServer, false},
		{"HTTP/1.1 500 Failed\r\nSeal: s", steering.ResultServerError, false},
		{"HTTP/1.1 404 None\r\nSeal: s", steering.ResultResponded, false},
		{"HTTP/1.1 503 Failed\r\nSeal: s", steering.ResultServerError, true},
		{"HTTP/1.1 429 Often\r\nSeal: s", steering.ResultResponded, true},
		{"HTTP/1.1 408 Late\r\nSeal: s", steering.ResultResponded, true},
	} {
		s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
			_, _ = io.WriteString(w, c.head+"\r\nAttempt: one\r\nLoad: 3,2,4,250\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		a, response := send(newTestClient(), s, "one")
		expectResult(t, a, response, c.want, "")
		if a.ClaimsNotRun != c.claimsNotRun {
			t.Errorf("%q: got %t for a claim that the request has not run, want %t", c.head, a.ClaimsNotRun, c.claimsNotRun)
		}
		if !a.Loaded || a.Running != 3 || a.Waiting != 2 || a.Slots != 4 || a.WorkPercent != 250 {
			t.Errorf("got %+v, want a load of 3 running, 2 waiting, 4 slots and 250%% work", a)
		}
	}
}

// Checks that requests are forwarded unchanged except for hop-by-hop headers, and with the
// remaining time.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	for _, target := range []string{"/a%2Fb/?q=%20x", "//double/slash?x=1", "/plain"} {
		seen := make(chan *http.Request, 1)
		s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			seen <- r
			_, _ = io.WriteString(w, okResponse("one", ""))
			return true
		})
		r := newRequest(s, "one")
		r.Target = target
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("Cookie", "a=b")
		a, _ := newTestClient().Send(context.Background(), r)
		if a.Result != steering.ResultResponded {
			t.Fatalf("%s: result is %s (%v)", target, a.Result, a.Err)
		}
		got := <-seen
		if got.RequestURI != target {
			t.Errorf("target is %q, want %q", got.RequestURI, target)
		}
		if got.Host != "example" || got.Header.Get("Cookie") != "a=b" || got.Header.Get("Instance") != "i-1" {
			t.Errorf("host %q, cookie %q, instance %q", got.Host, got.Header.Get("Cookie"), got.Header.Get("Instance"))
		}
		for _, gone := range []string{"X-Hop", "User-Agent"} {
			if got.Header.Get(gone) != "" {
				t.Errorf("%s was forwarded or added", gone)
			}
		}
		if left := got.Header.Get("Time-Left"); len(left) != 4 {
			t.Errorf("time left is %q, want just under 5000", left)
		}
	}
}

// Guards against sending a request on an idle connection that the server has closed: it would be
// unknown whether the request ran.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), "fine"))
		return false
	})
	c := newTestClient()
	for _, id := range []string{"one", "two", "three"} {
		a, response := send(c, s, id)
		expectResult(t, a, response, steering.ResultResponded, "fine")
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against reusing connections to a restarted server. If a network partition hides their end,
// they look healthy, and the next request on them would be lost. They must be closed once the
// restart is known.
func TestConnectionsToRestartedServerAreNotReused(t *testing.T) {
	s := startRawServer(t, func(conn, _ int, r *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), fmt.Sprint(conn)))
		return true
	})
	c := newTestClient()
	for i, want := range []string{"1", "1", "2"} {
		if i == 2 {
			c.CloseIdleConnections(s.address())
		}
		a, response := send(c, s, fmt.Sprint("a", i))
		expectResult(t, a, response, steering.ResultResponded, want)
	}
}

// Guards against idle connections that exceed the limit of a server: after six concurrent requests,
// six idle connections would use up the connections of other proxies.
func TestIdleConnectionLimit(t *testing.T) {
	const maxIdle, concurrent = 2, 6
	var arrived sync.WaitGroup
	arrived.Add(concurrent)
	var closed atomic.Int32
	s := startRawServer(t, func(_, n int, r *http.Request, w net.Conn) bool {
		if n == 1 {
			arrived.Done()
			arrived.Wait()
		}
		_, err := io.WriteString(w, okResponse(r.Header.Get("Attempt"), "x"))
		if err == nil {
			_, err = w.Read(make([]byte, 1))
		}
		if err != nil {
			closed.Add(1)
		}
		return err == nil
	})
	c := newTestClient()
	var clients sync.WaitGroup
	for range concurrent {
		clients.Go(func() {
			c.Send(context.Background(), Request{
				Address: s.address(), Method: http.MethodGet, Host: "h", Target: "/", AttemptID: "a",
				Deadline: time.Now().Add(testTimeout), DialTimeout: testTimeout, MaxConnections: maxIdle,
			})
		})
	}
	clients.Wait()
	for end := time.Now().Add(testTimeout); closed.Load() < concurrent-maxIdle && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := closed.Load(); got != concurrent-maxIdle {
		t.Errorf("%d connections were closed, want %d", got, concurrent-maxIdle)
	}
}

func TestParseKeepAlive(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultKeepAlive, "timeout=5": 4 * time.Second, "max=3, timeout=2": time.Second, "timeout=0": 0, "timeout=x": defaultKeepAlive,
	} {
		if got := parseKeepAlive(text, defaultKeepAlive); got != want {
			t.Errorf("%q: got %s, want %s", text, got, want)
		}
	}
}
