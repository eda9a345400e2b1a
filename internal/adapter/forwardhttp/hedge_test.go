package forwardhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/hedging"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// hedgedRequest is a request for an object that its home is warm for.
	hedgedRequest = "GET /r/1 HTTP/1.1\r\nHost: h\r\nAttempt: id-1\r\nCookie: Object=o\r\n\r\n"
	// usualRun is how long runs usually take, and noHedgeTime how long a test waits for a hedge that
	// must not be sent.
	usualRun    = 100 * time.Millisecond
	noHedgeTime = 3 * usualRun
	// cancelTime is how soon requests at servers must be cancelled after the caller has left.
	cancelTime = 500 * time.Millisecond
)

// hedgeProxy is a proxy that knows how long runs take, before a backend server whose connections
// the test serves.
type hedgeProxy struct {
	*pipelineProxy
	memory *bodies.MemoryBudget
	caller *caller
	// attempts are the connections of the attempts that have arrived, in order.
	attempts chan net.Conn
}

func newHedgeProxy(t *testing.T) *hedgeProxy {
	t.Helper()
	attempts := make(chan net.Conn, 10)
	p, memory := newStreamProxy(t, func(c net.Conn, _ string) {
		attempts <- c
		<-t.Context().Done()
	})
	_, d := p.kernel.BeginRequest(time.Now(), steering.Request{Host: "h", Path: "/r/1"})
	kernel := steering.New(steering.Config{
		Name: "p", Domain: "a", Region: "r", RegionOf: map[string]string{"a": "r"},
		Bounds: steering.Bounds{Retry: steering.RetryBudget{Ratio: 50, Window: 10 * time.Second}},
	})
	kernel.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "read", Host: "h", Prefix: "/r/", Idempotent: true, Sticky: true, Attempts: 2, Timeout: testTimeout, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}},
	}}, nil, routing.Limits{}))
	now := time.Now().Add(-time.Second)
	kernel.RegisterServer(now, routing.Server{ID: "s1", Service: "s", Domain: "a", Slots: 100, Address: d.Server.Address})
	for range hedging.MinSamples + 1 {
		active, _ := kernel.BeginRequest(now, steering.Request{Host: "h", Path: "/r/1", Object: "o"})
		now = now.Add(usualRun)
		kernel.EndAttempt(now, active, steering.Attempt{Result: steering.ResultResponded, Loaded: true, Running: 1})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kernel = kernel
	return &hedgeProxy{pipelineProxy: p, memory: memory, caller: p.connect(t), attempts: attempts}
}

// arrival returns the connection of the next attempt.
func (p *hedgeProxy) arrival(t *testing.T) net.Conn {
	t.Helper()
	select {
	case c := <-p.attempts:
		return c
	case <-time.After(testTimeout):
		_ = p.caller.SetReadDeadline(time.Now().Add(noHedgeTime))
		received, err := io.ReadAll(p.caller.reader)
		t.Fatalf("no attempt arrives; the caller has received %q, error %v", received[:min(len(received), 500)], err)
		return nil
	}
}

// sendTwice sends a request and returns the connections of its two attempts.
func (p *hedgeProxy) sendTwice(t *testing.T) (first, hedge net.Conn) {
	t.Helper()
	p.caller.write(t, hedgedRequest)
	return p.arrival(t), p.arrival(t)
}

// expectNoAttempt fails the test if another attempt arrives.
func (p *hedgeProxy) expectNoAttempt(t *testing.T) {
	t.Helper()
	select {
	case <-p.attempts:
		t.Error("the request is sent again, want no further attempt")
	case <-time.After(noHedgeTime):
	}
}

// expectIdle waits until no request is in flight and the memory of all responses is released.
func (p *hedgeProxy) expectIdle(t *testing.T) {
	t.Helper()
	p.await(t, "nothing is in flight and the memory is released", func() bool {
		all := p.memory.NewReservation()
		defer all.Release()
		return all.TryGrow(streamMemory) && p.kernel.Counts(time.Now()).InFlight == 0
	})
}

// expectClosed fails the test unless the proxy closes the connection of an attempt in time.
func expectClosed(t *testing.T, name string, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(cancelTime))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: read %d bytes and error %v, want the connection closed", name, n, err)
	}
}

// respond writes a response whose body consists of one letter and that closes the connection.
func respond(c net.Conn, letter string, length int) {
	head := strings.Replace(responseHead("id-1", length), "Seal", "Connection: close\r\nSeal", 1)
	_, _ = io.WriteString(c, head+strings.Repeat(letter, length))
}

// readBody returns the body of the next response, or false if it is incomplete.
func (p *hedgeProxy) readBody(t *testing.T) (string, bool) {
	t.Helper()
	response, err := http.ReadResponse(p.caller.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err == nil && response.StatusCode == http.StatusOK
}

// Guards against a caller that waits for a slow run, and against a losing attempt that keeps its
// server, its memory or its place in flight.
func TestFirstResponseOfTwoAttemptsWins(t *testing.T) {
	for _, length := range []int{10, longBody} {
		for _, hedgeWins := range []bool{true, false} {
			p := newHedgeProxy(t)
			winner, loser := p.sendTwice(t)
			if hedgeWins {
				winner, loser = loser, winner
			}
			respond(winner, "w", length)
			if body, ok := p.readBody(t); !ok || body != strings.Repeat("w", length) {
				t.Errorf("hedge wins %t: got %d bytes, complete %t, want %d of the winner", hedgeWins, len(body), ok, length)
			}
			expectClosed(t, "loser", loser)
			p.expectIdle(t)
			p.expectNoAttempt(t)
		}
	}
}

// Guards against a second response that reaches the caller, mixed with the first one or as the
// response to the next request, when both attempts respond at once.
func TestOnlyOneOfTwoResponsesReachesCaller(t *testing.T) {
	for i := range 12 {
		lengths := map[string]int{"f": longBody, "h": longBody}
		if i%4 < 2 {
			lengths["f"] = 1000
		}
		if i%2 == 0 {
			lengths["h"] = 1000
		}
		p := newHedgeProxy(t)
		first, hedge := p.sendTwice(t)
		go respond(first, "f", lengths["f"])
		go respond(hedge, "h", lengths["h"])
		body, ok := p.readBody(t)
		if !ok || body != strings.Repeat(body[:1], lengths[body[:1]]) {
			t.Errorf("got %d bytes, complete %t, want one response of lengths %v", len(body), ok, lengths)
		}
		p.expectIdle(t)
		p.caller.write(t, hedgedRequest)
		respond(p.arrival(t), "n", 10)
		if body, ok := p.readBody(t); !ok || body != strings.Repeat("n", 10) {
			t.Errorf("got %q for the next request, want its own response", body)
		}
	}
}

// Guards against a second attempt of a request whose response is arriving slowly, whether it is
// passed on meanwhile or buffered first.
func TestArrivingResponseIsNotHedged(t *testing.T) {
	for _, length := range []int{1000, longBody} {
		p := newHedgeProxy(t)
		p.caller.write(t, hedgedRequest)
		c := p.arrival(t)
		_, _ = io.WriteString(c, responseHead("id-1", length)+strings.Repeat("a", length/2))
		p.expectNoAttempt(t)
		_, _ = io.WriteString(c, strings.Repeat("a", length/2))
		if body, ok := p.readBody(t); !ok || len(body) != length {
			t.Errorf("got %d bytes, complete %t, want %d", len(body), ok, length)
		}
		p.expectIdle(t)
	}
}

// Guards against a request that is answered with the failure of one attempt while the other one is
// running, and against a third attempt in place of a failed one.
func TestOtherAttemptContinuesAfterFailure(t *testing.T) {
	fail := map[string]func(net.Conn){
		"breaks": func(c net.Conn) { _ = c.Close() },
		"rejects": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nAttempt: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"fails": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Error\r\nAttempt: id-1\r\nContent-Length: 3\r\n\r\nbad")
		},
	}
	for name, fail := range fail {
		for _, hedgeFails := range []bool{true, false} {
			p := newHedgeProxy(t)
			failing, other := p.sendTwice(t)
			if hedgeFails {
				failing, other = other, failing
			}
			fail(failing)
			p.expectNoAttempt(t)
			respond(other, "o", 10)
			if body, ok := p.readBody(t); !ok || body != strings.Repeat("o", 10) {
				t.Errorf("%s, hedge fails %t: got %q, complete %t, want the response of the other attempt", name, hedgeFails, body, ok)
			}
			p.expectIdle(t)
		}
	}
}

// Guards against a response that breaks off on its way to the caller and is completed by that of
// the other attempt.
func TestBrokenStreamIsNotCompletedByOtherAttempt(t *testing.T) {
	p := newHedgeProxy(t)
	first, hedge := p.sendTwice(t)
	_, _ = io.WriteString(first, responseHead("id-1", longBody)+strings.Repeat("f", longBody/2))
	expectClosed(t, "hedge", hedge)
	respond(hedge, "h", longBody)
	_ = first.Close()
	if body, ok := p.readBody(t); ok || strings.Contains(body, "h") {
		t.Errorf("got %d bytes, complete %t, want a part of the first response", len(body), ok)
	}
	p.expectIdle(t)
}

// The caller leaves while the response of one attempt begins to be passed on and the other one has
// ended already. Guards against a response that is written after its request has ended, and against
// its memory being kept.
func TestCallerLeavesWhileResponseBegins(t *testing.T) {
	for range 10 {
		p := newHedgeProxy(t)
		var sent atomic.Int32
		p.server.Send = func(ctx context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
			isHedge := sent.Add(1) == 2
			if isHedge {
				_ = p.caller.Close()
			}
			<-ctx.Done()
			if isHedge {
				stream, _ := p.memory.NewStream(longBody)
				r.OnStream(&serverhttp.Response{Status: http.StatusOK, Header: http.Header{}, Stream: stream})
				_ = stream.Fill(strings.NewReader("a"))
			}
			return steering.Attempt{Result: steering.ResultCallerGone, Err: ctx.Err()}, nil
		}
		p.caller.write(t, hedgedRequest)
		p.await(t, "both attempts are sent", func() bool { return sent.Load() == 2 })
		p.expectIdle(t)
	}
}

// Guards against attempts that keep running at their servers after the caller has left.
func TestBothAttemptsAreCancelledWhenCallerLeaves(t *testing.T) {
	p := newHedgeProxy(t)
	first, hedge := p.sendTwice(t)
	_ = p.caller.Close()
	expectClosed(t, "first attempt", first)
	expectClosed(t, "hedge", hedge)
	p.expectIdle(t)
}

// Guards against a request body whose memory is released while the losing attempt still sends it,
// and against a second attempt without the body.
func TestBodyIsKeptWhileLosingAttemptSendsIt(t *testing.T) {
	p := newHedgeProxy(t)
	var sent atomic.Int32
	released := make(chan bool, 1)
	p.server.Send = func(ctx context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		if string(r.Body.Bytes()) != "hello" {
			t.Errorf("got body %q, want that of the request", r.Body)
		}
		if sent.Add(1) == 2 {
			body, _ := p.memory.Read(strings.NewReader("w"), 1, 1)
			return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
		}
		<-ctx.Done()
		time.Sleep(usualRun)
		// Of the budget, the response of the other attempt takes one byte.
		b, err := p.memory.Read(strings.NewReader(strings.Repeat("x", streamMemory-1)), streamMemory-1, streamMemory)
		if err == nil {
			b.Release()
		}
		released <- err == nil
		return steering.Attempt{Result: steering.ResultCallerGone, Err: ctx.Err()}, nil
	}
	p.caller.write(t, "PUT /r/1 HTTP/1.1\r\nHost: h\r\nAttempt: id-1\r\nCookie: Object=o\r\nContent-Length: 5\r\n\r\nhello")
	if body, ok := p.readBody(t); !ok || body != "w" {
		t.Errorf("got %q, complete %t, want the response of the second attempt", body, ok)
	}
	if <-released {
		t.Error("the body is released while an attempt still uses it")
	}
	p.expectIdle(t)
}
