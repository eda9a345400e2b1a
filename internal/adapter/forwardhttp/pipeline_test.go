package forwardhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// testTimeout bounds the waits of a test; only a failing test waits this long.
	testTimeout = 10 * time.Second
)

type (
	// pipelineProxy is a proxy whose backend server holds each request until the test releases it.
	pipelineProxy struct {
		address string
		server  *Server

		mu       sync.Mutex
		kernel   *steering.Kernel
		stopping bool
		started  []string
		canceled []string
		release  map[string]chan struct{}
	}
)

func newPipelineProxy(t testing.TB) *pipelineProxy {
	t.Helper()
	p := &pipelineProxy{
		kernel:  steering.New(steering.Config{Name: "p", Domain: "a", Region: "r", RegionOf: map[string]string{"a": "r"}}),
		release: make(map[string]chan struct{}),
	}
	routes := []*routing.Route{
		{Name: "read", Host: "h", Prefix: "/r/", Idempotent: true, Attempts: 2, Timeout: testTimeout, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "book", Host: "h", Prefix: "/b/", Attempts: 1, Timeout: testTimeout, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}},
	}
	p.kernel.SetTable(routing.NewTable(1, routes, nil, routing.Limits{}))
	p.kernel.RegisterServer(time.Now(), routing.Server{ID: "s1", Service: "s", Domain: "a", Slots: 100})
	p.server = &Server{
		Requests: context.Background(),
		Headers:  Headers{AttemptID: "Attempt", Deadline: "Wait", ObjectCookie: "Object"}, BodyMemory: bodies.NewMemoryBudget(1 << 20), Now: time.Now,
		WithKernel: func(do func(*steering.Kernel, time.Time)) {
			p.mu.Lock()
			defer p.mu.Unlock()
			do(p.kernel, time.Now())
		},
		Send: p.send,
		IsStopping: func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.stopping
		},
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := LimitConnections(inner, 100, func() {})
	p.server.EnablePipelining(listener)
	server := p.server.HTTPServer()
	server.ConnState = listener.RecordState
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	p.address = inner.Addr().String()
	return p
}

// hold makes the backend server hold the requests for the given paths.
func (p *pipelineProxy) hold(paths ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, path := range paths {
		p.release[path] = make(chan struct{})
	}
}

func (p *pipelineProxy) send(ctx context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
	p.mu.Lock()
	p.started = append(p.started, r.Target)
	release := p.release[r.Target]
	p.mu.Unlock()
	if release != nil {
		select {
		case <-release:
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			p.canceled = append(p.canceled, r.Target)
			return steering.Attempt{Result: steering.ResultCallerGone, Err: ctx.Err()}, nil
		}
	}
	body := &bodies.Body{Content: bodies.NewContent([]byte(r.Method + " " + r.Target + " " + string(r.Body.Bytes())))}
	return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
}

// await waits until the condition holds.
func (p *pipelineProxy) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		holds := condition()
		p.mu.Unlock()
		if holds {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// caller is a connection on which requests are pipelined.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (p *pipelineProxy) connect(t testing.TB) *caller {
	t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (c *caller) write(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// read returns the next response as its status and body.
func (c *caller) read(t testing.TB) (text string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error(), true
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error(), true
	}
	return fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body))), response.Close
}

func (c *caller) expect(t testing.TB, want ...string) (closes bool) {
	t.Helper()
	for _, w := range want {
		var got string
		if got, closes = c.read(t); got != w {
			t.Errorf("got response %q, want %q", got, w)
		}
	}
	return closes
}

// Guards against pipelined requests that run one after the other: each waited for the sum of those
// before it although servers were free. Responses keep the order of the requests.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	p := newPipelineProxy(t)
	p.hold("/r/1", "/r/2", "/r/3")
	c := p.connect(t)
	c.write(t, get("/r/1")+get("/r/2")+get("/r/3"))
	p.await(t, "all requests are sent to servers", func() bool { return len(p.started) == 3 })
	close(p.release["/r/3"])
	close(p.release["/r/2"])
	close(p.release["/r/1"])
	c.expect(t, "200 GET /r/1", "200 GET /r/2", "200 GET /r/3")
}

// Guards against a request that must not be repeated and starts before its turn: if a response
// before it closed the connection, its caller would send it again.
func TestRequestsThatMustNotBeRepeatedWaitForTheirTurn(t *testing.T) {
	for name, second := range map[string]string{
		"booking without a body": get("/b/2"),
		"booking":                post("/b/2", "data"),
		"repeatable with a body": post("/r/2", "data"),
		"chunked":                "POST /r/2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
		"expects 100":            "GET /r/2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
		"head":                   "HEAD /r/2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"malformed":              "GET /r/2 HTTP/1.1\r\nHost : h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPipelineProxy(t)
			p.hold("/r/1")
			c := p.connect(t)
			c.write(t, get("/r/1")+second+get("/r/3"))
			p.await(t, "the first request is sent", func() bool { return len(p.started) == 1 })
			time.Sleep(20 * time.Millisecond)
			p.mu.Lock()
			if got := p.started; len(got) != 1 {
				t.Errorf("started %v, want only the first", got)
			}
			close(p.release["/r/1"])
			p.mu.Unlock()
			c.expect(t, "200 GET /r/1")
		})
	}
}

// Guards against a malformed request that fails the requests before it.
func TestMalformedRequestIsRejectedInItsTurn(t *testing.T) {
	p := newPipelineProxy(t)
	c := p.connect(t)
	c.write(t, get("/r/1")+get("/r/2")+"nonsense\r\n\r\n")
	if closes := c.expect(t, "200 GET /r/1", "200 GET /r/2", "400 400 Bad Request"); !closes {
		t.Error("the connection stays open after a malformed request")
	}
}

// Guards against requests that keep running on servers after their caller has disconnected.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	p := newPipelineProxy(t)
	p.hold("/r/1", "/r/2", "/r/3")
	c := p.connect(t)
	c.write(t, get("/r/1")+get("/r/2")+get("/r/3"))
	p.await(t, "all requests are sent", func() bool { return len(p.started) == 3 })
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	p.await(t, "all requests are canceled", func() bool { return len(p.canceled) == 3 })
}

// Guards against a shutdown that closes the connection before a request is answered that runs on a
// server already: only the last of these responses may close it.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	p := newPipelineProxy(t)
	p.hold("/r/1", "/r/2", "/r/3")
	c := p.connect(t)
	c.write(t, get("/r/1")+get("/r/2"))
	p.await(t, "both requests are sent", func() bool { return len(p.started) == 2 })
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	c.write(t, get("/r/3"))
	close(p.release["/r/1"])
	if closes := c.expect(t, "200 GET /r/1"); closes {
		t.Error("the connection is closed while a request is in progress")
	}
	close(p.release["/r/2"])
	if closes := c.expect(t, "200 GET /r/2"); !closes {
		t.Error("the connection stays open during a shutdown")
	}
	if slices.Contains(p.started, "/r/3") {
		t.Error("a request started behind the response that closes the connection")
	}
}

// Guards against a connection that takes more than its share: at the bound the proxy stops reading,
// and answers everything in the end.
func TestPipelineDepthIsBounded(t *testing.T) {
	const count = 5 * maxPipelined
	p := newPipelineProxy(t)
	p.hold("/r/0")
	c := p.connect(t)
	var want []string
	var text strings.Builder
	for i := range count {
		path := fmt.Sprintf("/r/%d", i)
		text.WriteString(get(path))
		want = append(want, "200 GET "+path)
	}
	c.write(t, text.String())
	p.await(t, "requests are started ahead", func() bool { return len(p.started) == maxPipelined })
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	if got := len(p.started); got > maxPipelined {
		t.Errorf("%d requests in progress, want at most %d", got, maxPipelined)
	}
	close(p.release["/r/0"])
	p.mu.Unlock()
	c.expect(t, want...)
}

// FuzzPipeline checks that requests get the same responses in the same order however the bytes are
// split into segments, as one request at a time.
func FuzzPipeline(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4}, uint16(7))
	f.Add([]byte{2, 0, 0, 2, 1, 0}, uint16(1))
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, uint16(300))
	f.Add([]byte{3, 0, 4, 0, 2}, uint16(40))
	p := newPipelineProxy(f)
	f.Fuzz(func(t *testing.T, kinds []byte, segment uint16) {
		kinds = kinds[:min(len(kinds), 20)]
		var text strings.Builder
		var want []string
		for i, kind := range kinds {
			path := fmt.Sprintf("/r/%d", i)
			switch kind % 5 {
			case 0:
				text.WriteString(get(path))
				want = append(want, "200 GET "+path)
			case 1:
				text.WriteString(get("/b/1"))
				want = append(want, "200 GET /b/1")
			case 2:
				body := strings.Repeat("x", 50*i)
				text.WriteString(post("/b/2", body))
				want = append(want, strings.TrimSpace("200 POST /b/2 "+body))
			case 3:
				text.WriteString("POST /r/3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n")
				want = append(want, "200 POST /r/3 data")
			case 4:
				text.WriteString(get("/none"))
				want = append(want, "404 ")
			}
		}
		c := p.connect(t)
		go writeSegments(c, text.String(), max(1, int(segment)))
		for _, w := range want {
			if got, _ := c.read(t); strings.TrimSpace(got) != strings.TrimSpace(w) {
				t.Fatalf("got response %.60q, want %.60q; requests %v in segments of %d bytes", got, w, kinds, segment)
			}
		}
	})
}

func writeSegments(w io.Writer, text string, size int) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// BenchmarkSingleRequests serves one request at a time per connection. Reading ahead costs it less
// than a twentieth.
func BenchmarkSingleRequests(b *testing.B) {
	for _, ahead := range []bool{false, true} {
		b.Run(fmt.Sprintf("ahead=%v", ahead), func(b *testing.B) {
			p := newPipelineProxy(b)
			if !ahead {
				p = newPlainProxy(b)
			}
			c, request := p.connect(b), get("/r/1")
			if err := c.SetDeadline(time.Time{}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.write(b, request)
				c.read(b)
			}
		})
	}
}

// newPlainProxy returns a proxy that runs the requests of a connection one after the other.
func newPlainProxy(b *testing.B) *pipelineProxy {
	p := newPipelineProxy(b)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := p.server.HTTPServer()
	go func() { _ = server.Serve(LimitConnections(inner, 100, func() {})) }()
	b.Cleanup(func() { _ = server.Close() })
	p.address = inner.Addr().String()
	return p
}

// Guards against a request that starts before its turn although its route no longer allows it to
// run more than once: a new configuration takes effect between the check and the start.
func TestConfigurationChangePreventsEarlyStart(t *testing.T) {
	p := newPipelineProxy(t)
	var changeNow atomic.Bool
	p.server.Now = func() time.Time {
		if changeNow.CompareAndSwap(true, false) {
			route := &routing.Route{Name: "read", Host: "h", Prefix: "/r/", Attempts: 1, Timeout: testTimeout, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.kernel.SetTable(routing.NewTable(2, []*routing.Route{route}, nil, routing.Limits{}))
		}
		return time.Now()
	}
	p.hold("/r/1")
	c := p.connect(t)
	c.write(t, get("/r/1"))
	p.await(t, "the first request is sent", func() bool { return len(p.started) == 1 })
	changeNow.Store(true)
	c.write(t, get("/r/2"))
	p.await(t, "the configuration has changed", func() bool { return p.kernel.Version() == 2 })
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	if len(p.started) != 1 {
		t.Errorf("started %v, want only the first", p.started)
	}
	close(p.release["/r/1"])
	p.mu.Unlock()
	c.expect(t, "200 GET /r/1", "200 GET /r/2")
}

// Guards against requests that start behind a response that closes the connection: their callers
// send them again on another one.
func TestNothingStartsBehindClosingResponse(t *testing.T) {
	p := &pipeline{
		startEarly: func(context.Context, *http.Request) *earlyRequest {
			t.Error("a request was started")
			return nil
		},
		mayRunAhead: func(*http.Request) bool { return true },
		requests:    []*pipelinedRequest{{}, {simple: true, request: &http.Request{}}, {simple: true, request: &http.Request{}}},
	}
	p.stopStarting()
	p.endTurn()
	p.next(make([]byte, 1))
}
