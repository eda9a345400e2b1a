package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// BackoffRequest is a time in which the first servers of a region refuse all requests and ask
	// each proxy for a pause.
	BackoffRequest struct {
		Episode
		Backoff operator.Duration `json:"pause"`
	}

	// BackoffStats is what servers got that had asked for a pause.
	BackoffStats struct {
		// MaxRequests is how many requests a proxy sent a server in a pause at most, from some
		// time after it was asked for; Asked counts the pauses.
		MaxRequests, Count int
	}

	// backoffLog notes what each proxy sends each server, and when the server asked for what.
	backoffLog struct {
		arrivals map[serverProxy][]time.Duration
		periods  map[serverProxy][]backoffPeriod
	}

	backoffPeriod struct {
		from, to time.Duration
	}
)

// backoffRequest is what a server asks for now, zero for nothing.
func (l Scenario) backoffRequest(s *server, now time.Duration) time.Duration {
	for _, b := range l.BackoffRequests {
		if b.affects(s, now) {
			return b.Backoff.Std()
		}
	}
	return 0
}

func (p *backoffLog) recordArrival(now time.Duration, server, proxy string) {
	if p.arrivals == nil {
		p.arrivals, p.periods = make(map[serverProxy][]time.Duration), make(map[serverProxy][]backoffPeriod)
	}
	p.arrivals[serverProxy{server, proxy}] = append(p.arrivals[serverProxy{server, proxy}], now)
}

func (p *backoffLog) recordBackoff(now, backoff time.Duration, server, proxy string) {
	p.periods[serverProxy{server, proxy}] = append(p.periods[serverProxy{server, proxy}], backoffPeriod{now + reactionTime, now + backoff})
}

// stats sums up what came in pauses.
func (p *backoffLog) stats() (out BackoffStats) {
	for key, periods := range p.periods {
		out.Count += len(periods)
		for _, period := range periods {
			n := 0
			for _, at := range p.arrivals[key] {
				if at >= period.from && at < period.to {
					n++
				}
			}
			out.MaxRequests = max(out.MaxRequests, n)
		}
	}
	return out
}
