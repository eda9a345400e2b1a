package backendhttp

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
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

type (
	// rawServer lets a function write the response to each request on a connection, and counts the
	// requests that were read completely.
	rawServer struct {
		address  netip.AddrPort
		mu       sync.Mutex
		received int
	}
)

func startRawServer(t *testing.T, respond func(n int, c net.Conn) (keep bool)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, respond)
		}
	}()
	return s
}

func (s *rawServer) serve(c net.Conn, respond func(int, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.received++
		n := s.received
		s.mu.Unlock()
		if !respond(n, c) {
			return
		}
	}
}

func (s *rawServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func send(t *testing.T, address netip.AddrPort, method string, timeout time.Duration) Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return sendWith(ctx, NewClient(4, time.Now), address, method, nil)
}

func sendWith(ctx context.Context, c *Client, address netip.AddrPort, method string, header http.Header) Response {
	return c.Send(ctx, Request{
		Address: address, Method: method, Path: "/x", Header: header, ID: "r1", Attempt: "a1",
		Deadline: time.Now().Add(time.Second),
	})
}

func writeAndClose(text string) func(int, net.Conn) bool {
	return func(_ int, c net.Conn) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

// Checks which result each kind of response or failure has: it must not say that a request did not
// run if it may have run.
func TestAttemptResults(t *testing.T) {
	closed := startRawServer(t, writeAndClose(""))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	cases := []struct {
		name    string
		address netip.AddrPort
		want    backend.Result
	}{
		{"connection refused", unused, backend.Unreachable},
		{"closed after reading", closed.address, backend.Interrupted},
		{"complete response", startRawServer(t, writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")).address, backend.Completed},
		{"truncated body", startRawServer(t, writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel")).address, backend.Interrupted},
		{"truncated chunked body", startRawServer(t, writeAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")).address, backend.Interrupted},
		{"truncated header", startRawServer(t, writeAndClose("HTTP/1.1 200 OK\r\nContent-Le")).address, backend.Interrupted},
		{"garbage", startRawServer(t, writeAndClose("SSH-2.0-x\r\n")).address, backend.Interrupted},
		{"not-run response", startRawServer(t, writeAndClose("HTTP/1.1 503 X\r\nGypsumquay-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")).address, backend.Rejected},
		{"plain 503", startRawServer(t, writeAndClose("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")).address, backend.Completed},
		{"no response", startRawServer(t, func(int, net.Conn) bool { time.Sleep(time.Second); return false }).address, backend.Abandoned},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := send(t, c.address, http.MethodPost, 300*time.Millisecond).Result; got != c.want {
				t.Errorf("got result %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against automatic retries by net/http: a POST with an Idempotency-Key and no body runs on
// the backend server, and the reused connection breaks before the response. The transport would
// send the request again because of the header, and it would run twice.
func TestTransportDoesNotRetry(t *testing.T) {
	s := startRawServer(t, func(n int, c net.Conn) bool {
		if n == 2 {
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	client := NewClient(1, time.Now)
	header := http.Header{"Idempotency-Key": {"bid-7"}}
	ctx := context.Background()
	if got := sendWith(ctx, client, s.address, http.MethodPost, header).Result; got != backend.Completed {
		t.Fatalf("first request: got result %d, want %d", got, backend.Completed)
	}
	if got := sendWith(ctx, client, s.address, http.MethodPost, header).Result; got != backend.Interrupted {
		t.Errorf("second request: got result %d, want %d", got, backend.Interrupted)
	}
	if got, want := s.requests(), 2; got != want {
		t.Errorf("got %d requests at the backend server, want %d", got, want)
	}
}

// Checks that a response larger than the buffer is streamed, and that one which is interrupted
// after the buffered part ends in an error instead of a truncated success.
func TestLongResponseIsStreamed(t *testing.T) {
	body := strings.Repeat("x", ResponseBufferSize+1000)
	s := startRawServer(t, func(_ int, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+body)
		return false
	})
	r := send(t, s.address, http.MethodGet, time.Second)
	if r.Remainder == nil {
		t.Fatal("got no stream, want one")
	}
	n, err := io.Copy(io.Discard, r.Remainder)
	_ = r.Remainder.Close()
	if err == nil {
		t.Errorf("got EOF after %d bytes, want an error", int(n)+len(r.Answer.Body))
	}
}

// Guards against a response that reaches the wrong caller, and against a request that is reported as not
// run although it runs: a server repeats its response to the request before.
func TestDuplicateResponseIsNotTakenForNext(t *testing.T) {
	answer := func(attempt, head string) string {
		return "HTTP/1.1 " + head + "\r\nGypsumquay-Attempt: " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	}
	const rejected = "503 X\r\nGypsumquay-Outcome: not-run"
	s := startRawServer(t, func(n int, c net.Conn) bool {
		switch n {
		case 1:
			_, _ = io.WriteString(c, answer("a1", rejected))
		case 2:
			_, _ = io.WriteString(c, answer("a1", rejected)+answer("a2", "200 OK"))
		default:
			_, _ = io.WriteString(c, answer("a3", "200 OK"))
		}
		return true
	})
	client := NewClient(1, time.Now)
	for i, want := range []backend.Result{backend.Rejected, backend.Interrupted, backend.Completed} {
		got := client.Send(context.Background(), Request{
			Address: s.address, Method: http.MethodPost, Path: "/x", ID: "r1", Attempt: fmt.Sprint("a", i+1), Deadline: time.Now().Add(time.Second),
		})
		if got.Result != want {
			t.Fatalf("request %d: got result %d (%v), want %d", i+1, got.Result, got.Err, want)
		}
		if got.Answer != nil && got.Answer.Header.Get(caller.HeaderAttempt) != "" {
			t.Errorf("request %d: the attempt is passed on to the caller", i+1)
		}
	}
}

// Guards against a health check that takes a repeated response for its own.
func TestDuplicateResponseIsNoHealth(t *testing.T) {
	s := startRawServer(t, func(n int, c net.Conn) bool {
		const answer = "HTTP/1.1 200 OK\r\nGypsumquay-Attempt: a1\r\nContent-Length: 0\r\n\r\n"
		if n == 1 {
			_, _ = io.WriteString(c, answer)
			return true
		}
		_, _ = io.WriteString(c, answer+"HTTP/1.1 503 Failing\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	client := NewClient(1, time.Now)
	sendWith(context.Background(), client, s.address, http.MethodGet, nil)
	if got := client.Probe(context.Background(), s.address); got.OK {
		t.Error("got a healthy server, want the probe to fail")
	}
}
