package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// BackoffRequest is a period in which the first servers of a region reject all requests and ask
	// each proxy to back off.
	BackoffRequest struct {
		Episode
		Backoff operator.Duration `json:"pause"`
	}

	// BackoffStats describes the requests sent to servers that had asked for backoff.
	BackoffStats struct {
		// MaxRequests is the largest number of requests that one proxy sent to one server during a
		// backoff period, not counting the reaction time of the proxy. Count is the number of
		// backoff periods requested.
		MaxRequests, Count int
	}

	// backoffLog records the requests that each proxy sends to each server and the backoff periods
	// that the server asked that proxy for.
	backoffLog struct {
		arrivals map[serverProxy][]time.Duration
		periods  map[serverProxy][]backoffPeriod
	}

	backoffPeriod struct {
		from, to time.Duration
	}
)

// backoffRequest returns the backoff that a server currently asks for, or zero.
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

// stats counts the requests that arrived during backoff periods.
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
