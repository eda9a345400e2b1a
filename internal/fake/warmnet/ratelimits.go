package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// limitWindow is the window over which arrivals are compared with a rate limit. limitRatio and
	// limitSlack are the allowed excess over the limit in that window.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// propagationBound is the operators' bound on the time until all proxies know of a rate limit.
	// Arrivals are compared with a limit from then on.
	propagationBound = 4 * time.Second
	// reactionTime is the time within which a proxy must act on a response.
	reactionTime = 500 * time.Millisecond
)

type (
	// RateLimit is a period in which the first servers of a region advertise a rate limit.
	RateLimit struct {
		Episode
		PerSecond float64 `json:"per-second"`
	}

	// RateLimitStats describes the requests sent to servers that advertise a rate limit.
	RateLimitStats struct {
		// MaxUtilization is the largest number of requests that a server got within one window from
		// informed proxies, as a fraction of the number allowed.
		MaxUtilization float64
		// MeanUtilization is the mean request rate of the servers as a fraction of their limits.
		// RecoveredRate is their mean request rate some time after the limit has ended, as a
		// fraction of the rate before it.
		MeanUtilization, RecoveredRate float64
		// Reports counts the backpressure reports exchanged between proxies.
		Reports int
	}

	// firstHeard holds the times at which each proxy first received a signal of each server.
	firstHeard map[serverProxy]time.Duration

	serverProxy struct {
		server, proxy string
	}

	// rateLimitLog records the requests that arrive at servers and the proxies that know of a
	// limit.
	rateLimitLog struct {
		arrivals   map[string][]arrival
		informedAt firstHeard
		reports    int
	}

	arrival struct {
		at time.Duration
		// informed is set if the proxy had known of the limit for reactionTime.
		informed bool
	}
)

// record records a time unless an earlier one is known.
func (n firstHeard) record(now time.Duration, server, proxy string) {
	if _, known := n[serverProxy{server, proxy}]; !known {
		n[serverProxy{server, proxy}] = now
	}
}

// advertisedLimit returns the rate limit that a server currently advertises.
func (l Scenario) advertisedLimit(s *server, now time.Duration) backpressure.Limit {
	for _, e := range l.RateLimits {
		if e.affects(s, now) {
			return backpressure.Limit{Set: true, PerSecond: e.PerSecond}
		}
	}
	return backpressure.Limit{}
}

// hasBackpressure reports whether servers send backpressure signals in this scenario.
func (l Scenario) hasBackpressure() bool {
	return len(l.RateLimits)+len(l.Draining)+len(l.BackoffRequests) > 0
}

// signal returns the backpressure signal in a server's response.
func (w *simulation) signal(s *server, r steering.Result) backpressure.Signal {
	if r == steering.ResultConnectionLost || r == steering.ResultUnreachable || r == steering.ResultTimeout {
		return backpressure.Signal{}
	}
	return backpressure.Signal{Limit: w.scenario.advertisedLimit(s, w.Now), Draining: w.scenario.isDraining(s, w.Now), Pause: w.scenario.backoffRequest(s, w.Now)}
}

// recordSignal records the signal that a proxy receives with a response.
func (w *simulation) recordSignal(req *request, s backpressure.Signal) {
	if s.Limit.Set {
		w.rateLimitLog.informedAt.record(w.Now, req.server.id, req.kernel.Name())
	}
	if s.Draining {
		w.drainHeard.record(w.Now, req.server.id, req.kernel.Name())
	}
}

// exchangeBackpressure has each proxy exchange backpressure reports with one peer.
func (w *simulation) exchangeBackpressure() {
	w.gossip(func(k, peer *steering.Kernel) {
		sent, received := k.BackpressureReports(w.clock(), false), peer.BackpressureReports(w.clock(), false)
		peer.ApplyBackpressureReports(w.clock(), sent)
		k.ApplyBackpressureReports(w.clock(), received)
		w.rateLimitLog.reports += len(sent) + len(received)
	})
}

func (l *rateLimitLog) recordArrival(now time.Duration, server, proxy string) {
	if l.arrivals == nil {
		l.arrivals, l.informedAt = make(map[string][]arrival), make(firstHeard)
	}
	at, informed := l.informedAt[serverProxy{server, proxy}]
	l.arrivals[server] = append(l.arrivals[server], arrival{at: now, informed: informed && now-at >= reactionTime})
}

// stats computes the statistics over all periods with a rate limit.
func (l *rateLimitLog) stats(episodes []RateLimit) (out RateLimitStats) {
	out.Reports = l.reports
	before, after, use, servers := 0.0, 0.0, 0.0, 0
	for _, e := range episodes {
		for i := range e.Servers {
			arrivals := l.arrivals[serverID(e.Region, i)]
			out.MaxUtilization = max(out.MaxUtilization, e.maxUtilization(arrivals))
			from, to := e.From.Std()+propagationBound, e.To.Std()
			use += arrivalRate(arrivals, from, to) / max(e.PerSecond, 1/limitWindow.Seconds())
			before += arrivalRate(arrivals, e.From.Std()-propagationBound, e.From.Std())
			after += arrivalRate(arrivals, to+propagationBound, to+2*propagationBound)
			servers++
		}
	}
	if servers > 0 {
		out.MeanUtilization, out.RecoveredRate = use/float64(servers), after/max(1, before)
	}
	return out
}

// maxUtilization returns the largest number of requests from informed proxies as a fraction of the
// number allowed, over all windows that end after propagationBound.
func (e RateLimit) maxUtilization(arrivals []arrival) float64 {
	allowed := limitRatio*limitWindow.Seconds()*e.PerSecond + limitSlack
	largest := 0.0
	for i, last := range arrivals {
		if last.at < e.From.Std()+propagationBound || last.at >= e.To.Std() {
			continue
		}
		n := 0.0
		for j := i; j >= 0 && last.at-arrivals[j].at < limitWindow; j-- {
			if arrivals[j].informed {
				n++
			}
		}
		largest = max(largest, n/allowed)
	}
	return largest
}

// arrivalRate returns the arrivals per second between two times.
func arrivalRate(arrivals []arrival, from, to time.Duration) float64 {
	n := 0.0
	for _, a := range arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n / (to - from).Seconds()
}
