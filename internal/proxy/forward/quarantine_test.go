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
	crashPath = "/b/deadly"
	// restartDelay is after how long a server that has ended is back.
	restartDelay = 600 * time.Millisecond
	// registrationExpiry is how long the registration of one that has ended stays.
	registrationExpiry = 400 * time.Millisecond
	// propagationBound is the operators' bound for news at all proxies.
	propagationBound = 4 * time.Second
	// crashesToQuarantine are the servers that a request may end before it must be known, and
	// runsAfter how often it may reach servers beyond the bound after that.
	crashesToQuarantine  = 3
	maxCrashesAfterBound = 3
)

type (
	// crashingServers end when they run a request for the deadly path, with all that
	// they are running, and are back with new ids after a while.
	crashingServers struct {
		fleet *fleet

		mu      sync.Mutex
		crashes []time.Time
		starts  int
		// live are the listening servers by their address.
		live   map[netip.AddrPort]*http.Server
		closed bool
	}
)

func newCrashingServers(f *fleet, n int) *crashingServers {
	s := &crashingServers{fleet: f, live: make(map[netip.AddrPort]*http.Server)}
	f.t.Cleanup(s.close)
	for range n {
		s.start(freePort(f.t))
	}
	return s
}

func (s *crashingServers) start(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
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
		if r.URL.Path == crashPath {
			s.crash(id, address, server)
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

// crash ends a server as a crash does: nothing listens any more, all connections break,
// and its registration runs out some time after.
func (s *crashingServers) crash(id string, address netip.AddrPort, server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[address] != server {
		return
	}
	delete(s.live, address)
	s.crashes = append(s.crashes, time.Now())
	_ = server.Close()
	time.AfterFunc(registrationExpiry, func() { s.fleet.store.remove("servers/" + id) })
	time.AfterFunc(restartDelay, func() { s.start(address) })
}

func (s *crashingServers) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.live {
		_ = server.Close()
	}
}

func (s *crashingServers) crashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

// A service lost one server after the other for as long as a caller kept asking for one
// thing: each server that began to run that request ended, with all its other requests,
// and the caller came again, each time at another proxy. Each proxy held its breaks
// against the servers and none against the request: it was the one that was there at all
// ends whose logs were kept, nine of nine, where no other was there at more than three.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 3)
	f.store.remove("servers/s1")
	servers := newCrashingServers(f, 6)
	f.eventually("sound requests are served", func() bool { return f.get(0, "/b/sound") == http.StatusOK })
	asked := 0
	for end := time.Now().Add(waitTimeout); len(servers.crashTimes()) < crashesToQuarantine; asked++ {
		if time.Now().After(end) {
			t.Fatalf("%d servers ended, want %d before the request can be known", len(servers.crashTimes()), crashesToQuarantine)
		}
		f.get(asked%3, crashPath)
	}
	bound := servers.crashTimes()[crashesToQuarantine-1].Add(propagationBound)
	after, unserved := 0, 0
	for time.Now().Before(bound.Add(3 * time.Second)) {
		asked++
		f.get(asked%3, crashPath)
		for i := range f.daemons {
			status := f.get(i, fmt.Sprintf("/b/sound/%d", asked%40))
			if time.Now().After(bound) && status != http.StatusOK {
				unserved++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	ends := servers.crashTimes()
	for _, at := range ends {
		if at.After(bound) {
			after++
		}
	}
	t.Logf("asked %d times, %d servers ended, %d of them after the bound", asked, len(ends), after)
	if after > maxCrashesAfterBound {
		t.Errorf("the request ended %d servers after it was to be known everywhere, want %d at most", after, maxCrashesAfterBound)
	}
	if unserved > 0 {
		t.Errorf("%d sound requests beside it were not served after that, want none", unserved)
	}
}

// A request was condemned, and then all proxies lost power, twice. Each time those that
// came back knew nothing of it, and it ended three servers more before it was refused
// again: the count of the ends was in memory only.
func TestQuarantineSurvivesLossOfAllProxies(t *testing.T) {
	f := newFleet(t, 2)
	f.store.remove("servers/s1")
	servers := newCrashingServers(f, 6)
	condemned := func(proxy int) bool {
		f.get(proxy, crashPath)
		list := 0
		f.daemons[proxy].withKernel(func(k *steering.Kernel, now time.Time) { list = len(k.Condemned(now)) })
		return list > 0
	}
	f.eventually("the request is condemned", func() bool { return condemned(0) && condemned(1) })
	f.eventually("that is stored", func() bool { return f.store.count(quarantineKeyPrefix) > 0 })
	before, first := len(servers.crashTimes()), 0
	for range 2 {
		for i := first; i < len(f.daemons); i++ {
			f.stops[i]()
			f.endConnections(i)
		}
		first = len(f.daemons)
		f.start(first, nil)
		f.start(first+1, nil)
		f.eventually("sound requests are served", func() bool { return f.get(first, "/b/sound") == http.StatusOK })
		for i := range 40 {
			f.get(first+i%2, crashPath)
			time.Sleep(10 * time.Millisecond)
		}
	}
	if after := len(servers.crashTimes()) - before; after > maxCrashesAfterBound {
		t.Errorf("the request ended %d servers after it was condemned, want %d at most", after, maxCrashesAfterBound)
	}
}
