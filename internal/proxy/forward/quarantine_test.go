package forward

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	deadlyPath = "/b/deadly"
	// frailBack is after how long a server that has ended is back.
	frailBack = 600 * time.Millisecond
	// frailLapse is how long the registration of one that has ended stays.
	frailLapse = 400 * time.Millisecond
	// newsBound is the operators' bound for news at all proxies.
	newsBound = 4 * time.Second
	// endsToJudge are the servers that a request may end before it must be known, and
	// runsAfter how often it may reach servers beyond the bound after that.
	endsToJudge = 3
	runsAfter   = 3
)

type (
	// frailServers end when they run a request for the deadly path, with all that
	// they are running, and are back with new ids after a while.
	frailServers struct {
		fleet *fleet

		mu     sync.Mutex
		ends   []time.Time
		starts int
		// live are the listening servers by their address.
		live map[netip.AddrPort]*http.Server
		done bool
	}
)

func newFrailServers(f *fleet, n int) *frailServers {
	s := &frailServers{fleet: f, live: make(map[netip.AddrPort]*http.Server)}
	f.t.Cleanup(s.close)
	for range n {
		s.start(freePort(f.t))
	}
	return s
}

func (s *frailServers) start(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		s.fleet.t.Errorf("a server can't start again: %v", err)
		return
	}
	s.starts++
	id := fmt.Sprintf("frail-%d", s.starts)
	server := &http.Server{ReadHeaderTimeout: time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == deadlyPath {
			s.end(id, address, server)
			return
		}
		sleep.For(r.Context(), 20*time.Millisecond)
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Seal", "s")
	})
	s.live[address] = server
	s.fleet.store.write("servers/"+id, testServer{Service: "service", Domain: "a", Address: address})
	go func() { _ = server.Serve(listener) }()
}

// end ends a server as a crash does: nothing listens any more, all connections break,
// and its registration runs out some time after.
func (s *frailServers) end(id string, address netip.AddrPort, server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[address] != server {
		return
	}
	delete(s.live, address)
	s.ends = append(s.ends, time.Now())
	_ = server.Close()
	time.AfterFunc(frailLapse, func() { s.fleet.store.remove("servers/" + id) })
	time.AfterFunc(frailBack, func() { s.start(address) })
}

func (s *frailServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for _, server := range s.live {
		_ = server.Close()
	}
}

func (s *frailServers) ended() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.ends...)
}

// A service lost one server after the other for as long as a caller kept asking for one
// thing: each server that began to run that request ended, with all its other requests,
// and the caller came again, each time at another proxy. Each proxy held its breaks
// against the servers and none against the request: it was the one that was there at all
// ends whose logs were kept, nine of nine, where no other was there at more than three.
func TestRequestThatEndsServersIsKeptFromThem(t *testing.T) {
	f := newFleet(t, 3)
	f.store.remove("servers/s1")
	servers := newFrailServers(f, 6)
	f.eventually("sound requests are served", func() bool { return f.ask(0, "/b/sound") == http.StatusOK })
	asked := 0
	for end := time.Now().Add(patience); len(servers.ended()) < endsToJudge; asked++ {
		if time.Now().After(end) {
			t.Fatalf("%d servers ended, want %d before the request can be known", len(servers.ended()), endsToJudge)
		}
		f.ask(asked%3, deadlyPath)
	}
	bound := servers.ended()[endsToJudge-1].Add(newsBound)
	after, unserved := 0, 0
	for time.Now().Before(bound.Add(3 * time.Second)) {
		asked++
		f.ask(asked%3, deadlyPath)
		for i := range f.daemons {
			status := f.ask(i, fmt.Sprintf("/b/sound/%d", asked%40))
			if time.Now().After(bound) && status != http.StatusOK {
				unserved++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	ends := servers.ended()
	for _, at := range ends {
		if at.After(bound) {
			after++
		}
	}
	t.Logf("asked %d times, %d servers ended, %d of them after the bound", asked, len(ends), after)
	if after > runsAfter {
		t.Errorf("the request ended %d servers after it was to be known everywhere, want %d at most", after, runsAfter)
	}
	if unserved > 0 {
		t.Errorf("%d sound requests beside it were not served after that, want none", unserved)
	}
}

// A request was condemned, and then all proxies lost power, twice. Each time those that
// came back knew nothing of it, and it ended three servers more before it was refused
// again: the count of the ends was in memory only.
func TestCondemnedWorkIsKnownAfterAllProxiesAreLost(t *testing.T) {
	f := newFleet(t, 2)
	f.store.remove("servers/s1")
	servers := newFrailServers(f, 6)
	condemned := func(proxy int) bool {
		f.ask(proxy, deadlyPath)
		list := 0
		f.daemons[proxy].withKernel(func(k *steering.Kernel, now time.Time) { list = len(k.Condemned(now)) })
		return list > 0
	}
	f.eventually("the request is condemned", func() bool { return condemned(0) && condemned(1) })
	f.eventually("that is stored", func() bool { return f.store.count(quarantineKeyPrefix) > 0 })
	before, first := len(servers.ended()), 0
	for range 2 {
		for i := first; i < len(f.daemons); i++ {
			f.stops[i]()
			f.endConnections(i)
		}
		first = len(f.daemons)
		f.start(first, nil)
		f.start(first+1, nil)
		f.eventually("sound requests are served", func() bool { return f.ask(first, "/b/sound") == http.StatusOK })
		for i := range 40 {
			f.ask(first+i%2, deadlyPath)
			time.Sleep(10 * time.Millisecond)
		}
	}
	if after := len(servers.ended()) - before; after > runsAfter {
		t.Errorf("the request ended %d servers after it was condemned, want %d at most", after, runsAfter)
	}
}
