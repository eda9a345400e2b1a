package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// drainWithin is the operators' bound on new requests to a server that leaves.
	drainWithin = 2500 * time.Millisecond
	// heartbeat is how often servers write their registrations.
	heartbeat = 1500 * time.Millisecond
)

type (
	// DrainStats is what became of servers that leave by their own word.
	DrainStats struct {
		// LateRequests reached them that callers had sent later than the bound after the
		// proxy heard of it; Told counts the proxies that did.
		LateRequests, ProxiesInformed int
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

// playLeaving has servers leave that tell nobody but those who send them requests.
func (w *simulation) playLeaving() {
	w.leaves = make(firstHeard)
	for _, e := range w.load.Draining {
		for i := range e.Servers {
			s := w.byID[serverID(e.Region, i)]
			for at := e.From.Std(); at < e.To.Std(); at += heartbeat {
				w.After(at, func() { w.each(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(s)) }) })
			}
			w.After((e.From.Std()+e.To.Std())/2, func() { w.lapse(s) })
			w.After(e.To.Std(), func() { w.remove(s) })
		}
	}
}

// lapse has a server's registration run out and come back.
func (w *simulation) lapse(s *server) {
	w.each(func(k *steering.Kernel) {
		k.RemoveServer(w.clock(), s.id)
		k.RegisterServer(w.clock(), w.registration(s))
	})
}

// left notes a request that reaches a server which leaves.
func (w *simulation) left(j *request) {
	at, told := w.leaves[serverProxy{j.server.id, j.kernel.Name()}]
	if told && j.asked > at+drainWithin {
		w.out.Draining.LateRequests++
	}
	w.out.Draining.ProxiesInformed = len(w.leaves)
}
