package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// limitWindow is the window in which a limit is judged, limitFactor and limitSlack what
	// is allowed there beyond it.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// propagationBound is the operators' bound for news at all proxies; a limit is judged from
	// then on.
	propagationBound = 4 * time.Second
	// reactionTime is how long a proxy may take to heed an answer.
	reactionTime = 500 * time.Millisecond
)

type (
	// RateLimit is a time in which the first servers of a region name a limit.
	RateLimit struct {
		Episode
		PerSecond float64 `json:"per-second"`
	}

	// RateLimitStats is what servers got that named a limit.
	RateLimitStats struct {
		// MaxUtilization is the largest part of what is allowed in one window that a server got
		// from the proxies that it had told.
		MaxUtilization float64
		// MeanUtilization is the mean part of their limits that servers got, After their mean rate
		// from some time after it, as a part of the rate before it.
		MeanUtilization, RecoveredRate float64
		// Reports counts what proxies told each other of servers.
		Reports int
	}

	// firstHeard are the moments at which proxies first heard something of servers.
	firstHeard map[serverProxy]time.Duration

	serverProxy struct {
		server, proxy string
	}

	// rateLimitLog notes what arrives at servers, and which proxies were told.
	rateLimitLog struct {
		arrivals   map[string][]arrival
		informedAt firstHeard
		reports    int
	}

	arrival struct {
		at time.Duration
		// informed is set if the proxy knew of the limit.
		informed bool
	}
)

// record notes the first time.
func (n firstHeard) record(now time.Duration, server, proxy string) {
	if _, known := n[serverProxy{server, proxy}]; !known {
		n[serverProxy{server, proxy}] = now
	}
}

// advertisedLimit is what a server names now.
func (l Scenario) advertisedLimit(s *server, now time.Duration) backpressure.Limit {
	for _, e := range l.RateLimits {
		if e.affects(s, now) {
			return backpressure.Limit{Set: true, PerSecond: e.PerSecond}
		}
	}
	return backpressure.Limit{}
}

// hasBackpressure reports whether servers ask anything of their senders.
func (l Scenario) hasBackpressure() bool {
	return len(l.RateLimits)+len(l.Draining)+len(l.BackoffRequests) > 0
}

// signal is what a server's answer asks.
func (w *simulation) signal(s *server, r steering.Result) backpressure.Signal {
	if r == steering.ResultConnectionLost || r == steering.ResultUnreachable || r == steering.ResultTimeout {
		return backpressure.Signal{}
	}
	return backpressure.Signal{Limit: w.scenario.advertisedLimit(s, w.Now), Draining: w.scenario.isDraining(s, w.Now), Pause: w.scenario.backoffRequest(s, w.Now)}
}

// recordSignal notes what a proxy hears with an answer.
func (w *simulation) recordSignal(req *request, s backpressure.Signal) {
	if s.Limit.Set {
		w.rateLimitLog.informedAt.record(w.Now, req.server.id, req.kernel.Name())
	}
	if s.Draining {
		w.drainHeard.record(w.Now, req.server.id, req.kernel.Name())
	}
}

// exchangeBackpressure has each proxy tell another one what servers ask, and be told.
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

// stats sums up what became of the limits.
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

// maxUtilization is the largest part of what is allowed that came from proxies that knew, in any
// window that ends after the time for news.
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

// arrivalRate is how many arrived a second between two moments.
func arrivalRate(arrivals []arrival, from, to time.Duration) float64 {
	n := 0.0
	for _, a := range arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n / (to - from).Seconds()
}
