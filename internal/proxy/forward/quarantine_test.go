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
	// restartDelay is how long after a crash a server is back.
	restartDelay = 600 * time.Millisecond
	// registrationExpiry is how long after a crash a server's registration is removed.
	registrationExpiry = 400 * time.Millisecond
	// propagationBound is the operators' bound for news to reach all proxies.
	propagationBound = 4 * time.Second
	// crashesToQuarantine is how many servers a request may crash before it must be quarantined,
	// and maxCrashesAfterBound how many it may crash after that and the propagation bound.
	crashesToQuarantine  = 3
	maxCrashesAfterBound = 3
)

type (
	// crashingServers crash when they run a request for crashPath, with all their other requests,
	// and restart with new ids after a while.
	crashingServers struct {
		fleet *fleet

		mu      sync.Mutex
		crashes []time.Time
		starts  int
		// live holds the listening servers by address.
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
		s.fleet.t.Errorf("restart of a server failed: %v", err)
		return
	}
	s.starts++
	id := fmt.Sprintf("crashing-%d", s.starts)
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

// crash simulates a server's crash: it no longer listens, all its connections break, and its
// registration expires some time later.
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

// A service lost one server after another while a caller kept sending one request: each server that
// ran it crashed with all its other requests, and the caller retried at another proxy. Each proxy
// blamed the servers, none the request, although the logs showed that it was present at all nine
// crashes of which logs were kept, while no other request was present at more than three.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 3)
	f.store.remove("servers/s1")
	servers := newCrashingServers(f, 6)
	f.eventually("other requests are served", func() bool { return f.get(0, "/b/sound") == http.StatusOK })
	requestCount := 0
	for end := time.Now().Add(waitTimeout); len(servers.crashTimes()) < crashesToQuarantine; requestCount++ {
		if time.Now().After(end) {
			t.Fatalf("%d servers crashed, want %d to quarantine the request", len(servers.crashTimes()), crashesToQuarantine)
		}
		f.get(requestCount%3, crashPath)
	}
	bound := servers.crashTimes()[crashesToQuarantine-1].Add(propagationBound)
	crashesAfterBound, failed := 0, 0
	for time.Now().Before(bound.Add(3 * time.Second)) {
		requestCount++
		f.get(requestCount%3, crashPath)
		for i := range f.daemons {
			status := f.get(i, fmt.Sprintf("/b/sound/%d", requestCount%40))
			if time.Now().After(bound) && status != http.StatusOK {
				failed++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	crashes := servers.crashTimes()
	for _, at := range crashes {
		if at.After(bound) {
			crashesAfterBound++
		}
	}
	t.Logf("%d requests sent, %d servers crashed, %d of them after the bound", requestCount, len(crashes), crashesAfterBound)
	if crashesAfterBound > maxCrashesAfterBound {
		t.Errorf("the request crashed %d servers after the propagation bound, want at most %d", crashesAfterBound, maxCrashesAfterBound)
	}
	if failed > 0 {
		t.Errorf("%d other requests failed after the propagation bound, want none", failed)
	}
}

// A request was quarantined, and then all proxies lost power, twice. Each time the restarted
// proxies knew nothing of it, and it crashed three more servers before it was rejected again: the
// crashes were counted in memory only.
func TestQuarantineSurvivesLossOfAllProxies(t *testing.T) {
	f := newFleet(t, 2)
	f.store.remove("servers/s1")
	servers := newCrashingServers(f, 6)
	quarantined := func(proxy int) bool {
		f.get(proxy, crashPath)
		list := 0
		f.daemons[proxy].withKernel(func(k *steering.Kernel, now time.Time) { list = len(k.QuarantinedWork(now)) })
		return list > 0
	}
	f.eventually("the request is quarantined", func() bool { return quarantined(0) && quarantined(1) })
	f.eventually("the quarantine is stored", func() bool { return f.store.count(quarantineKeyPrefix) > 0 })
	before, first := len(servers.crashTimes()), 0
	for range 2 {
		for i := first; i < len(f.daemons); i++ {
			f.stops[i]()
			f.endConnections(i)
		}
		first = len(f.daemons)
		f.start(first, nil)
		f.start(first+1, nil)
		f.eventually("other requests are served", func() bool { return f.get(first, "/b/sound") == http.StatusOK })
		for i := range 40 {
			f.get(first+i%2, crashPath)
			time.Sleep(10 * time.Millisecond)
		}
	}
	if crashes := len(servers.crashTimes()) - before; crashes > maxCrashesAfterBound {
		t.Errorf("the request crashed %d servers after it was quarantined, want at most %d", crashes, maxCrashesAfterBound)
	}
}
