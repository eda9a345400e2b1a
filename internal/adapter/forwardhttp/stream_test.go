package forwardhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// longBody is the length of a response that is passed on while it arrives.
	longBody = 256 << 10
	// streamMemory is the memory for bodies of a test.
	streamMemory = 64 << 20
)

// newStreamProxy returns a proxy before a backend server that serves each connection with a
// function, which gets the ID of the request.
func newStreamProxy(t *testing.T, respond func(c net.Conn, id string)) (*pipelineProxy, *bodies.MemoryBudget) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c, r.Header.Get("Attempt"))
				}
			}()
		}
	}()
	p := newPipelineProxy(t)
	memory := bodies.NewMemoryBudget(streamMemory)
	client := serverhttp.NewClient(serverhttp.Headers{AttemptID: "Attempt", Deadline: "Left", InstanceID: "Instance", Load: "Load", NotRun: "Not-Run", Seal: "Seal"}, memory, time.Now, func() {})
	p.server.BodyMemory, p.server.Send = memory, client.Send
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range []string{"s1", "s2"} {
		p.kernel.RegisterServer(time.Now(), routing.Server{ID: id, Service: "s", Domain: "a", Slots: 100, Address: netip.MustParseAddrPort(listener.Addr().String())})
	}
	return p, memory
}

func responseHead(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nLoad: 1,0,4\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", id, length)
}

// requestWithID returns a request with an attempt ID on a route whose requests may be repeated.
func requestWithID(id string) string {
	return "GET /r/" + id + " HTTP/1.1\r\nHost: h\r\nAttempt: " + id + "\r\n\r\n"
}

// Guards against a long response that is read completely before its first byte is passed on: over a
// narrow link it then takes twice as long.
func TestLongResponseIsPassedOnWhileItArrives(t *testing.T) {
	halfRead := make(chan struct{})
	p, _ := newStreamProxy(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, responseHead(id, longBody)+strings.Repeat("a", longBody/2))
		select {
		case <-halfRead:
			_, _ = io.WriteString(c, strings.Repeat("b", longBody/2))
		case <-time.After(testTimeout):
		}
	})
	c := p.connect(t)
	c.write(t, requestWithID("id-1"))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header; got.Get("Seal") != "s" || got.Get("Attempt") != "id-1" || got.Get("Load") != "" {
		t.Errorf("got header %v, want the server's without its load", got)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, longBody/2)); err != nil {
		t.Fatalf("the first half does not arrive before the second: %v", err)
	}
	close(halfRead)
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(rest) != strings.Repeat("b", longBody/2) {
		t.Errorf("got %d bytes and error %v, want the second half", len(rest), err)
	}
}

// Guards against a long response that the server breaks off and that looks complete to the caller,
// or that is continued with the response of another server.
func TestBrokenLongResponseDoesNotLookComplete(t *testing.T) {
	var runs atomic.Int32
	p, memory := newStreamProxy(t, func(c net.Conn, id string) {
		runs.Add(1)
		_, _ = io.WriteString(c, responseHead(id, longBody)+strings.Repeat("a", longBody/2))
	})
	c := p.connect(t)
	c.write(t, requestWithID("id-1"))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		t.Errorf("got %d bytes without an error, want the connection closed within the response", len(body))
	}
	p.await(t, "the memory is released", func() bool {
		b, err := memory.Read(strings.NewReader(strings.Repeat("x", streamMemory)), streamMemory, streamMemory)
		if err == nil {
			b.Release()
		}
		return err == nil
	})
	if got := runs.Load(); got != 1 {
		t.Errorf("servers ran %d requests, want 1", got)
	}
}

// Guards against requests of a connection that servers have run and whose responses are lost, because
// the long response before them was broken off while it was passed on.
func TestBrokenLongResponseLeavesResponsesBehindIt(t *testing.T) {
	const behind = 3
	var started atomic.Int32
	allStarted := make(chan struct{})
	p, _ := newStreamProxy(t, func(c net.Conn, id string) {
		if id != "long" {
			if started.Add(1) == behind {
				close(allStarted)
			}
			_, _ = io.WriteString(c, responseHead(id, len(id))+id)
			return
		}
		select {
		case <-allStarted:
		case <-time.After(testTimeout):
		}
		_, _ = io.WriteString(c, responseHead(id, longBody)+strings.Repeat("a", longBody/2))
	})
	c := p.connect(t)
	text := requestWithID("long")
	for i := range behind {
		text += requestWithID(fmt.Sprint("short-", i))
	}
	c.write(t, text)
	c.expect(t, "502 ", "200 short-0", "200 short-1", "200 short-2")
}

// Guards against requests that start behind a response that is being passed on: they are lost if it is
// broken off.
func TestNothingStartsBehindResponseThatIsPassedOn(t *testing.T) {
	var started atomic.Int32
	end := make(chan struct{})
	p, _ := newStreamProxy(t, func(c net.Conn, id string) {
		if id != "long" {
			started.Add(1)
			_, _ = io.WriteString(c, responseHead(id, len(id))+id)
			return
		}
		_, _ = io.WriteString(c, responseHead(id, longBody)+strings.Repeat("a", longBody/2))
		<-end
		_, _ = io.WriteString(c, strings.Repeat("a", longBody/2))
	})
	c := p.connect(t)
	c.write(t, requestWithID("long"))
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	c.write(t, requestWithID("short"))
	time.Sleep(50 * time.Millisecond)
	if got := started.Load(); got != 0 {
		t.Errorf("%d requests started behind the response, want none", got)
	}
	close(end)
	c.expect(t, "200 "+strings.Repeat("a", longBody), "200 short")
}

// Guards against a caller that reads slowly and thereby holds a server: the server can send the
// whole response at once.
func TestSlowCallerDoesNotSlowDownServer(t *testing.T) {
	const length = 15 << 20
	sent := make(chan struct{})
	p, _ := newStreamProxy(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, responseHead(id, length))
		if _, err := io.WriteString(c, strings.Repeat("a", length)); err == nil {
			close(sent)
		}
	})
	c := p.connect(t)
	c.write(t, requestWithID("id-1"))
	select {
	case <-sent:
	case <-time.After(testTimeout):
		t.Fatal("the server waits for the caller")
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); n != length || err != nil {
		t.Errorf("got %d bytes and error %v, want %d", n, err, length)
	}
}

// Guards against a response that is passed on before it is known to be the server's to this
// request: one without a seal, or to another request.
func TestOnlyProvenResponsesArePassedOnEarly(t *testing.T) {
	for name, head := range map[string]string{
		"without a seal":     "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nContent-Length: 100000\r\n\r\n",
		"to another request": "HTTP/1.1 200 OK\r\nAttempt: id-2\r\nSeal: s\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newStreamProxy(t, func(c net.Conn, _ string) { _, _ = io.WriteString(c, head+strings.Repeat("a", 100000)) })
			c := p.connect(t)
			c.write(t, requestWithID("id-1"))
			c.expect(t, "502 ")
		})
	}
}
