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
	// Limited is a time in which the first servers of a region name a limit.
	Limited struct {
		Episode
		PerSecond float64 `json:"per-second"`
	}

	// Limits is what servers got that named a limit.
	Limits struct {
		// Most is the largest part of what is allowed in one window that a server got
		// from the proxies that it had told.
		Most float64
		// Use is the mean part of their limits that servers got, After their mean rate
		// from some time after it, as a part of the rate before it.
		Use, After float64
		// Reports counts what proxies told each other of servers.
		Reports int
	}

	// news are the moments at which proxies first heard something of servers.
	news map[newsKey]time.Duration

	newsKey struct {
		server, proxy string
	}

	// limits notes what arrives at servers, and which proxies were told.
	limits struct {
		arrivals map[string][]limitArrival
		toldAt   news
		reports  int
	}

	limitArrival struct {
		at time.Duration
		// told is set if the proxy knew of the limit.
		told bool
	}
)

// note notes the first time.
func (n news) note(now time.Duration, server, proxy string) {
	if _, known := n[newsKey{server, proxy}]; !known {
		n[newsKey{server, proxy}] = now
	}
}

// limit is what a server names now.
func (l Load) limit(s *server, now time.Duration) backpressure.Limit {
	for _, e := range l.Limited {
		if e.strikes(s, now) {
			return backpressure.Limit{Set: true, PerSecond: e.PerSecond}
		}
	}
	return backpressure.Limit{}
}

// asksOfSenders reports whether servers ask anything of their senders.
func (l Load) asksOfSenders() bool { return len(l.Limited)+len(l.Leaving)+len(l.Pausing) > 0 }

// signal is what a server's answer asks.
func (w *world) signal(s *server, r steering.Result) backpressure.Signal {
	if r == steering.ResultConnectionLost || r == steering.ResultUnreachable || r == steering.ResultTimeout {
		return backpressure.Signal{}
	}
	return backpressure.Signal{Limit: w.load.limit(s, w.Now), Draining: w.load.leaves(s, w.Now), Pause: w.load.pause(s, w.Now)}
}

// told notes what a proxy hears with an answer.
func (w *world) told(j *job, s backpressure.Signal) {
	if s.Limit.Set {
		w.limits.toldAt.note(w.Now, j.server.id, j.kernel.Name())
	}
	if s.Draining {
		w.leaves.note(w.Now, j.server.id, j.kernel.Name())
	}
}

// tellSignals has each proxy tell another one what servers ask, and be told.
func (w *world) tellSignals() {
	w.gossip(func(k, to *steering.Kernel) {
		question, answer := k.BackpressureReports(w.clock(), false), to.BackpressureReports(w.clock(), false)
		to.ApplyBackpressureReports(w.clock(), question)
		k.ApplyBackpressureReports(w.clock(), answer)
		w.limits.reports += len(question) + len(answer)
	})
}

func (l *limits) arrived(now time.Duration, server, proxy string) {
	if l.arrivals == nil {
		l.arrivals, l.toldAt = make(map[string][]limitArrival), make(news)
	}
	at, told := l.toldAt[newsKey{server, proxy}]
	l.arrivals[server] = append(l.arrivals[server], limitArrival{at: now, told: told && now-at >= heedWithin})
}

// judge sums up what became of the limits.
func (l *limits) judge(episodes []Limited) (out Limits) {
	out.Reports = l.reports
	before, after, use, servers := 0.0, 0.0, 0.0, 0
	for _, e := range episodes {
		for i := range e.Servers {
			list := l.arrivals[serverID(e.Region, i)]
			out.Most = max(out.Most, e.most(list))
			from, to := e.From.Std()+newsWithin, e.To.Std()
			use += rate(list, from, to) / max(e.PerSecond, 1/limitSpan.Seconds())
			before += rate(list, e.From.Std()-newsWithin, e.From.Std())
			after += rate(list, to+newsWithin, to+2*newsWithin)
			servers++
		}
	}
	if servers > 0 {
		out.Use, out.After = use/float64(servers), after/max(1, before)
	}
	return out
}

// most is the largest part of what is allowed that came from proxies that knew, in any
// window that ends after the time for news.
func (e Limited) most(list []limitArrival) float64 {
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
func rate(list []limitArrival, from, to time.Duration) float64 {
	n := 0.0
	for _, a := range list {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n / (to - from).Seconds()
}
