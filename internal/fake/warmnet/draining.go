package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// drainBound is the operators' bound on new requests to a server that leaves.
	drainBound = 2500 * time.Millisecond
	// heartbeatInterval is how often servers write their registrations.
	heartbeatInterval = 1500 * time.Millisecond
)

type (
	// DrainStats is what became of servers that leave by their own word.
	DrainStats struct {
		// LateRequests reached them that callers had sent later than the bound after the
		// proxy heard of it; Told counts the proxies that did.
		LateRequests, InformedPairs int
	}
)

// isDraining reports whether a server says that it leaves.
func (l Scenario) isDraining(s *server, now time.Duration) bool {
	for _, e := range l.Draining {
		if e.affects(s, now) {
			return true
		}
	}
	return false
}

// scheduleDraining has servers leave that tell nobody but those who send them requests.
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

// expireAndReregister has a server's registration run out and come back.
func (w *simulation) expireAndReregister(s *server) {
	w.eachProxy(func(k *steering.Kernel) {
		k.RemoveServer(w.clock(), s.id)
		k.RegisterServer(w.clock(), w.registration(s))
	})
}

// recordDrainArrival notes a request that reaches a server which leaves.
func (w *simulation) recordDrainArrival(req *request) {
	at, informed := w.drainHeard[serverProxy{req.server.id, req.kernel.Name()}]
	if informed && req.sentAt > at+drainBound {
		w.result.Draining.LateRequests++
	}
	w.result.Draining.InformedPairs = len(w.drainHeard)
}
