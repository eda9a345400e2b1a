package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

// hearSignal takes in what an attempt tells of what the server asks of its senders.
func (k *Kernel) hearSignal(now time.Time, f *Flight, s *server, a Attempt) {
	whole := a.Result == Answered || a.Result == Failed || a.Result == Refused
	s.word = k.signals.Heard(now, f.sentAt, s.start, a.Signal, whole)
}

// observeSignal tells of what a server asks from now on.
func (k *Kernel) observeSignal(n backpressure.Notice) {
	e := Event{Kind: EventServerLimit, Limit: n.Limit}
	for _, s := range k.servers {
		if s.start == n.Server {
			e.Server, e.Service = s.id, s.Service
		}
	}
	k.config.Observe(e)
}
