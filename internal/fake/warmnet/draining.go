package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// drainBound is the operators' bound on the time until a draining server gets no new requests.
	drainBound = 2500 * time.Millisecond
	// heartbeatInterval is the interval at which servers renew their registrations.
	heartbeatInterval = 1500 * time.Millisecond
)

type (
	// DrainStats describes the requests sent to servers that advertise in their responses that they
	// are draining.
	DrainStats struct {
		// LateRequests counts the requests that a caller sent later than drainBound after the proxy
		// had learned that the server was draining. InformedPairs counts the pairs of a draining
		// server and a proxy that learned of it.
		LateRequests, InformedPairs int
	}
)

// isDraining reports whether a server advertises that it is draining.
func (l Scenario) isDraining(s *server, now time.Duration) bool {
	for _, e := range l.Draining {
		if e.affects(s, now) {
			return true
		}
	}
	return false
}

// scheduleDraining schedules the servers that advertise draining in their responses only. Their
// registrations do not show it.
func (w *simulation) scheduleDraining() {
	w.drainHeard = make(firstHeard)
	for _, e := range w.scenario.Draining {
		for i := range e.Servers {
			s := w.byID[serverID(e.Region, i)]
			for at := e.From.Std(); at < e.To.Std(); at += heartbeatInterval {
				w.After(at, func() { w.eachProxy(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(s)) }) })
			}
			w.After((e.From.Std()+e.To.Std())/2, func() { w.expireAndReregister(s) })
			w.After(e.To.Std(), func() { w.removeServer(s) })
		}
	}
}

// expireAndReregister lets a server's registration expire and registers the server again.
func (w *simulation) expireAndReregister(s *server) {
	w.eachProxy(func(k *steering.Kernel) {
		k.RemoveServer(w.clock(), s.id)
		k.RegisterServer(w.clock(), w.registration(s))
	})
}

// recordDrainArrival records a request that reaches a server, in case the server is draining.
func (w *simulation) recordDrainArrival(req *request) {
	at, informed := w.drainHeard[serverProxy{req.server.id, req.kernel.Name()}]
	if informed && req.sentAt > at+drainBound {
		w.result.Draining.LateRequests++
	}
	w.result.Draining.InformedPairs = len(w.drainHeard)
}
