package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// Pausing is a time in which the first servers of a region refuse all requests and ask
	// each proxy for a pause.
	Pausing struct {
		Episode
		Pause operator.Duration `json:"pause"`
	}

	// Pauses is what servers got that had asked for a pause.
	Pauses struct {
		// Most is how many requests a proxy sent a server in a pause at most, from some
		// time after it was asked for; Asked counts the pauses.
		Most, Asked int
	}

	// pauses notes what each proxy sends each server, and when the server asked for what.
	pauses struct {
		arrivals map[newsKey][]time.Duration
		spans    map[newsKey][]pauseSpan
	}

	pauseSpan struct {
		from, to time.Duration
	}
)

// pause is what a server asks for now, zero for nothing.
func (l Load) pause(s *server, now time.Duration) time.Duration {
	for _, p := range l.Pausing {
		if p.strikes(s, now) {
			return p.Pause.Std()
		}
	}
	return 0
}

func (p *pauses) arrived(now time.Duration, server, proxy string) {
	if p.arrivals == nil {
		p.arrivals, p.spans = make(map[newsKey][]time.Duration), make(map[newsKey][]pauseSpan)
	}
	p.arrivals[newsKey{server, proxy}] = append(p.arrivals[newsKey{server, proxy}], now)
}

func (p *pauses) asked(now, pause time.Duration, server, proxy string) {
	p.spans[newsKey{server, proxy}] = append(p.spans[newsKey{server, proxy}], pauseSpan{now + heedWithin, now + pause})
}

// judge sums up what came in pauses.
func (p *pauses) judge() (out Pauses) {
	for key, spans := range p.spans {
		out.Asked += len(spans)
		for _, span := range spans {
			n := 0
			for _, at := range p.arrivals[key] {
				if at >= span.from && at < span.to {
					n++
				}
			}
			out.Most = max(out.Most, n)
		}
	}
	return out
}
