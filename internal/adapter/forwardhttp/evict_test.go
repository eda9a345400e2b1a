package forwardhttp

import (
	"net"
	"net/http"
	"testing"
	"time"

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
