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
	// Leaving is what became of servers that leave by their own word.
	Leaving struct {
		// Requests reached them that callers had sent later than the bound after the
		// proxy heard of it; Told counts the proxies that did.
		Requests, Told int
	}
)

// leaves reports whether a server says that it leaves.
func (l Load) leaves(s *server, now time.Duration) bool {
	for _, e := range l.Leaving {
		if e.strikes(s, now) {
			return true
		}
	}
	return false
}

// playLeaving has servers leave that tell nobody but those who send them requests.
func (w *world) playLeaving() {
	w.leaves = make(news)
	for _, e := range w.load.Leaving {
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
func (w *world) lapse(s *server) {
	w.each(func(k *steering.Kernel) {
		k.RemoveServer(w.clock(), s.id)
		k.RegisterServer(w.clock(), w.registration(s))
	})
}

// left notes a request that reaches a server which leaves.
func (w *world) left(j *job) {
	at, told := w.leaves[newsKey{j.server.id, j.kernel.Name()}]
	if told && j.asked > at+drainWithin {
		w.out.Leaving.Requests++
	}
	w.out.Leaving.Told = len(w.leaves)
}
