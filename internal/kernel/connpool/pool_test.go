package connpool

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type (
	// transport records whether it was closed, and the attempt IDs of the requests sent on it.
	transport struct {
		closed bool
		sent   map[string]bool
	}
)

const (
	testKeepAlive = 8 * time.Second
)

var (
	testAddress = netip.MustParseAddrPort("10.0.0.1:80")
	testStart   = time.Unix(1_000_000, 0)
)

func (t *transport) Close() error {
	t.closed = true
	return nil
}

// use takes a connection for an attempt, or adds one, and sends a request on it.
func use(p *Pool[*transport], now time.Time, attempt string, limit int) *Conn[*transport] {
	c := p.Take(now, testAddress, attempt, limit)
	if c == nil {
		c = p.Add(&transport{sent: make(map[string]bool)}, testAddress, testKeepAlive)
	}
	c.Begin(attempt)
	return c
}

// Searches orders of requests with repeated attempt IDs. Guards against a connection that carries one
// attempt ID twice, that is used after it was closed, or that exceeds the limit of its server.
func TestConnectionsCarryEachAttemptOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New[*transport](), testStart
		limit := rapid.IntRange(1, maxIdle+2).Draw(t, "limit")
		var inUse, all []*Conn[*transport]
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if len(inUse) > 0 && (len(inUse) == limit || rapid.Bool().Draw(t, "ends")) {
				i := rapid.IntRange(0, len(inUse)-1).Draw(t, "connection")
				c := inUse[i]
				inUse = append(inUse[:i], inUse[i+1:]...)
				if rapid.IntRange(0, 9).Draw(t, "breaks") == 0 {
					p.Discard(c)
				} else {
					p.Put(now, c, limit)
				}
				continue
			}
			attempt := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
			c := use(p, now, attempt, limit)
			if c.Transport.closed || c.Transport.sent[attempt] {
				t.Fatalf("attempt %s got a connection that is closed (%t) or has carried it (%t)", attempt, c.Transport.closed, c.Transport.sent[attempt])
			}
			c.Transport.sent[attempt] = true
			inUse, all = append(inUse, c), append(all, c)
			open := make(map[*transport]bool)
			for _, c := range all {
				if !c.Transport.closed {
					open[c.Transport] = true
				}
			}
			if len(open) > limit || p.open[testAddress] != len(open) {
				t.Fatalf("got %d open connections (%d counted), want at most %d", len(open), p.open[testAddress], limit)
			}
		}
	})
}

// Guards against memory that grows for as long as a connection is in use.
func TestConnectionIsClosedAfterMaxUses(t *testing.T) {
	p := New[*transport]()
	first := use(p, testStart, "0", 0)
	p.Put(testStart, first, 0)
	for i := 1; i < maxUses; i++ {
		if c := use(p, testStart, fmt.Sprint(i), 0); c != first || c.Transport.closed {
			t.Fatalf("request %d got another or a closed connection", i+1)
		}
		p.Put(testStart, first, 0)
	}
	if !first.Transport.closed {
		t.Errorf("the connection is open after %d requests, want closed", maxUses)
	}
}

func TestExpiredConnectionsAreClosed(t *testing.T) {
	p := New[*transport]()
	long, short := use(p, testStart, "a", 0), use(p, testStart, "b", 0)
	short.KeepAlive = time.Second
	p.Put(testStart, short, 0)
	p.Put(testStart, long, 0)
	if c := p.TakeAny(testStart.Add(time.Second), testAddress); c != long {
		t.Error("got another connection, want the one that has not expired")
	}
	if !short.Transport.closed || long.Transport.closed {
		t.Errorf("closed: expired %t, other %t; want the expired one", short.Transport.closed, long.Transport.closed)
	}
}

func TestCloseIdle(t *testing.T) {
	p := New[*transport]()
	idle, inUse := use(p, testStart, "a", 0), use(p, testStart, "b", 0)
	p.Put(testStart, idle, 0)
	p.CloseIdle(testAddress)
	if !idle.Transport.closed || inUse.Transport.closed {
		t.Errorf("closed: idle %t, in use %t; want the idle one", idle.Transport.closed, inUse.Transport.closed)
	}
}

// BenchmarkTake measures how long it takes to choose a connection that has carried half of the requests
// that it may carry.
func BenchmarkTake(b *testing.B) {
	p := New[*transport]()
	c := use(p, testStart, "first", 0)
	for i := range maxUses / 2 {
		c.Begin(fmt.Sprint(i))
	}
	p.Put(testStart, c, 0)
	for b.Loop() {
		p.Put(testStart, p.Take(testStart, testAddress, "next", 0), 0)
	}
}
