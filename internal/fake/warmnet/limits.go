package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// limitSpan is the window in which a limit is judged, limitFactor and limitSlack what
	// is allowed there beyond it.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// newsWithin is the operators' bound for news at all proxies; a limit is judged from
	// then on.
	newsWithin = 4 * time.Second
	// heedWithin is how long a proxy may take to heed an answer.
	heedWithin = 500 * time.Millisecond
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
		arrivals map[string][]arrival
		toldAt   firstHeard
		reports  int
	}

	arrival struct {
		at time.Duration
		// told is set if the proxy knew of the limit.
		told bool
	}
)

// note notes the first time.
func (n firstHeard) note(now time.Duration, server, proxy string) {
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
	return backpressure.Signal{Limit: w.load.advertisedLimit(s, w.Now), Draining: w.load.isDraining(s, w.Now), Pause: w.load.backoffRequest(s, w.Now)}
}

// told notes what a proxy hears with an answer.
func (w *simulation) told(j *request, s backpressure.Signal) {
	if s.Limit.Set {
		w.limits.toldAt.note(w.Now, j.server.id, j.kernel.Name())
	}
	if s.Draining {
		w.leaves.note(w.Now, j.server.id, j.kernel.Name())
	}
}

// tellSignals has each proxy tell another one what servers ask, and be told.
func (w *simulation) tellSignals() {
	w.gossip(func(k, to *steering.Kernel) {
		question, answer := k.BackpressureReports(w.clock(), false), to.BackpressureReports(w.clock(), false)
		to.ApplyBackpressureReports(w.clock(), question)
		k.ApplyBackpressureReports(w.clock(), answer)
		w.limits.reports += len(question) + len(answer)
	})
}

func (l *rateLimitLog) arrived(now time.Duration, server, proxy string) {
	if l.arrivals == nil {
		l.arrivals, l.toldAt = make(map[string][]arrival), make(firstHeard)
	}
	at, told := l.toldAt[serverProxy{server, proxy}]
	l.arrivals[server] = append(l.arrivals[server], arrival{at: now, told: told && now-at >= heedWithin})
}

// judge sums up what became of the limits.
func (l *rateLimitLog) judge(episodes []RateLimit) (out RateLimitStats) {
	out.Reports = l.reports
	before, after, use, servers := 0.0, 0.0, 0.0, 0
	for _, e := range episodes {
		for i := range e.Servers {
			list := l.arrivals[serverID(e.Region, i)]
			out.MaxUtilization = max(out.MaxUtilization, e.maxUtilization(list))
			from, to := e.From.Std()+newsWithin, e.To.Std()
			use += rate(list, from, to) / max(e.PerSecond, 1/limitSpan.Seconds())
			before += rate(list, e.From.Std()-newsWithin, e.From.Std())
			after += rate(list, to+newsWithin, to+2*newsWithin)
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
func (e RateLimit) maxUtilization(list []arrival) float64 {
	allowed := limitFactor*limitSpan.Seconds()*e.PerSecond + limitSlack
	most := 0.0
	for i, last := range list {
		if last.at < e.From.Std()+newsWithin || last.at >= e.To.Std() {
			continue
		}
		n := 0.0
		for k := i; k >= 0 && last.at-list[k].at < limitSpan; k-- {
			if list[k].told {
				n++
			}
		}
		most = max(most, n/allowed)
	}
	return most
}

// rate is how many arrived a second between two moments.
func rate(list []arrival, from, to time.Duration) float64 {
	n := 0.0
	for _, a := range list {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n / (to - from).Seconds()
}
