package forwardhttp

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
)

// Guards against a request that runs although its connection was closed to make room while it was being read.
func TestEvictedConnectionRunsNoRequest(t *testing.T) {
	l := LimitConnections(nil, 1, func() {})
	conn, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := l.track(conn)
	l.openCount.Add(1)
	time.Sleep(l.patience.Head)
	if !l.Evict(eviction.ForConnection) {
		t.Fatal("no connection was evicted, want the stalled one")
	}
	if got := l.OpenConnections(); got != 0 {
		t.Errorf("%d connections are counted, want 0", got)
	}
	l.RecordState(c, http.StateActive)
	r, err := http.NewRequestWithContext(withConnection(t.Context(), c), http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recover() == nil {
			t.Error("the handler goes on, want it to end")
		}
	}()
	AbortIfEvicted(r)
}

// Guards against closing a connection whose request is being served.
func TestServedConnectionIsNotEvicted(t *testing.T) {
	l := LimitConnections(nil, 1, func() {})
	conn, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := l.track(conn)
	l.RecordState(c, http.StateActive)
	time.Sleep(l.patience.Head)
	for _, p := range []eviction.Purpose{eviction.ForConnection, eviction.ForHead, eviction.ForBody} {
		if l.Evict(p) {
			t.Errorf("the connection was evicted for purpose %d, want it to stay", p)
		}
	}
}

// Guards against closing a connection while a request that was started before its turn is at a server.
func TestConnectionWithEarlyRequestIsNotEvicted(t *testing.T) {
	l := LimitConnections(nil, 1, func() {})
	conn, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := l.track(conn)
	c.pipeline = &pipeline{requests: []*pipelinedRequest{{early: &earlyRequest{}}}}
	l.RecordState(c, http.StateIdle)
	if l.Evict(eviction.ForConnection) {
		t.Error("the connection was evicted, want it to stay")
	}
	c.pipeline.requests[0].early.taken = true
	time.Sleep(maxEvictionPause)
	if !l.Evict(eviction.ForConnection) {
		t.Error("the connection was not evicted once its requests were answered")
	}
}

// Guards against 503 for a request that was started before its turn: it may have run.
func TestHeadOfEarlyRequestIsNotRejected(t *testing.T) {
	l := LimitConnections(nil, 1, func() {})
	l.LimitHeads(HeadLimits{Memory: bodies.NewMemoryBudget(0), MaxBytes: func() int64 { return 0 }})
	conn, client := net.Pipe()
	defer func() { _ = client.Close() }()
	c := l.track(conn)
	c.pipeline = &pipeline{requests: []*pipelinedRequest{{early: &earlyRequest{}}}}
	head := []byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n")
	if err := c.meter.read(head); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// Guards against calls of peers that stall and keep the memory from all others.
func TestStalledCallLeavesMemoryToOthers(t *testing.T) {
	const size = 100 << 10
	l := LimitConnections(nil, 10, func() {})
	l.LimitMessages(bodies.NewMemoryBudget(messageByteMemory * size))
	send := func() error {
		conn, client := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		c := l.track(conn)
		go func() { _, _ = client.Write(make([]byte, size)) }()
		for n := 0; n < size; {
			read, err := c.Read(make([]byte, size))
			if err != nil {
				return err
			}
			n += read
		}
		return nil
	}
	if err := send(); err != nil {
		t.Fatalf("first call: got error %v, want none", err)
	}
	time.Sleep(l.patience.Head)
	if err := send(); err != nil {
		t.Errorf("call beside a stalled one: got error %v, want none", err)
	}
}
