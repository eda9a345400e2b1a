package forwardhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
)

// startMeteredServer starts a server that limits the heads of its requests and counts them.
func startMeteredServer(t *testing.T, memory *bodies.MemoryBudget, maxBytes int64) (address string, served *int) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener, served := LimitConnections(inner, 10, func() {}), new(int)
	listener.LimitHeads(HeadLimits{Memory: memory, MaxBytes: func() int64 { return maxBytes }})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *served++ })}
	listener.AttachBodies(server, listener.patience)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), served
}

// Guards against heads that are not counted, in whichever parts and behind whichever request they arrive, and
// against requests that run although their head was rejected.
func TestHeadsAreChargedWhileTheyArrive(t *testing.T) {
	const memory, maxBytes = 64 << 10, 16 << 10
	start, fields := "GET / HTTP/1.1\r\nHost: x\r\n", strings.Repeat("a:\r\n", 2000)
	for name, c := range map[string]struct {
		parts      []string
		want       string
		wantServed int
	}{
		"usual head":             {[]string{start + "\r\n"}, "HTTP/1.1 200", 1},
		"many fields":            {[]string{start + fields, "\r\n"}, "HTTP/1.1 503", 0},
		"many fields in parts":   {[]string{start, fields[:4000], fields[4000:], "\r\n"}, "HTTP/1.1 503", 0},
		"head without end":       {[]string{start + fields}, "HTTP/1.1 503", 0},
		"behind another request": {[]string{start + "\r\n" + start + fields, "\r\n"}, "HTTP/1.1 200", 1},
		"long head":              {[]string{start + "A: " + strings.Repeat("x", 2*maxBytes), "\r\n\r\n"}, "HTTP/1.1 431", 0},
	} {
		t.Run(name, func(t *testing.T) {
			budget := bodies.NewMemoryBudget(memory)
			address, served := startMeteredServer(t, budget, maxBytes)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			for _, part := range c.parts {
				if _, err := io.WriteString(conn, part); err != nil {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			text := make([]byte, len(c.want))
			if _, err := io.ReadFull(conn, text); err != nil || string(text) != c.want {
				t.Errorf("got response %q (%v), want %q", text, err, c.want)
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			if *served != c.wantServed {
				t.Errorf("%d requests were served, want %d", *served, c.wantServed)
			}
			for end := time.Now().Add(5 * time.Second); !budget.NewReservation().TryGrow(memory); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("memory is still reserved after the last request")
				}
			}
		})
	}
}

// BenchmarkHeadMeter counts the head of a usual request.
func BenchmarkHeadMeter(b *testing.B) {
	head := []byte("GET /a/b?c=d HTTP/1.1\r\nHost: example\r\nAttempt: 9c41d07be2a35f68\r\nCookie: Object=17\r\nDeadline: 1200\r\n" +
		"User-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n")
	l := LimitConnections(nil, 1, func() {})
	l.LimitHeads(HeadLimits{Memory: bodies.NewMemoryBudget(1 << 20), MaxBytes: func() int64 { return 16 << 10 }})
	m := l.newMeter(&trackedConn{listener: l})
	b.ReportAllocs()
	for b.Loop() {
		if err := m.read(head); err != nil || !m.beginRequest() {
			b.Fatal(err)
		}
		m.endRequest()
	}
}
