package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
)

const (
	// limitSpan is the window in which a server's limit is judged, limitFactor and
	// limitSlack what is allowed there beyond it.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after it is first named a limit is not judged, heedWithin how
	// long a proxy may take to heed an answer.
	limitGrace = 4 * time.Second
	heedWithin = 500 * time.Millisecond
	// inPauseMost is how many requests of a process may reach a server in a pause.
	inPauseMost = 2
)

type (
	// limitCheck is what a server got since it names a limit.
	limitCheck struct {
		named time.Time
		// told is when each process has heard of it.
		told map[string]time.Time
		// sent are the moments of the requests from processes that knew.
		sent []time.Time
	}

	pauseKey struct {
		server, process string
	}

	// pauseCheck is a pause that a server has asked a process for, and what came in it.
	pauseCheck struct {
		from, until time.Time
		sent        int
	}
)

// heard notes what a process hears of what a server asks.
func (c *Checks) heard(p *Proxy, w *BackendServer, r *backend.Report) {
	if r == nil {
		return
	}
	if pause := r.Signal.Pause; pause > 0 {
		key, now := pauseKey{w.config.Name, p.id()}, c.sim.now
		if known := c.pauses[key]; known == nil || now.After(known.until) {
			c.pauses[key] = &pauseCheck{from: now.Add(heedWithin), until: now.Add(pause)}
		}
	}
	l := c.limits[w.config.Name]
	if l == nil || !r.Signal.Limit.Set {
		return
	}
	if _, known := l.told[p.id()]; !known {
		l.told[p.id()] = c.sim.now
	}
}

// pause asserts that a server gets hardly anything in a pause that it has asked for.
func (c *Checks) pause(p *Proxy, w *BackendServer) {
	now, asked := c.sim.now, c.pauses[pauseKey{w.config.Name, p.id()}]
	if asked == nil || p.behind > 0 || now.Before(asked.from) || !now.Before(asked.until) {
		return
	}
	if asked.sent++; asked.sent > inPauseMost {
		c.violate("%s got %d requests from %s in a pause that it had asked for", w.config.Name, asked.sent, p.name)
	}
}

// limit asserts that a server gets no more than it has asked for from those who know.
func (c *Checks) limit(p *Proxy, w *BackendServer) {
	l := c.limits[w.config.Name]
	if l == nil {
		return
	}
	now := c.sim.now
	if at, told := l.told[p.id()]; told && now.Sub(at) >= heedWithin {
		l.sent = append(l.sent, now)
	}
	for len(l.sent) > 0 && now.Sub(l.sent[0]) >= limitSpan {
		l.sent = l.sent[1:]
	}
	allowed := limitFactor*limitSpan.Seconds()*w.limit.PerSecond + limitSlack
	if now.Sub(l.named) >= limitGrace && float64(len(l.sent)) > allowed {
		c.violate("%s names a limit of %.1f a second and got %d requests in %s, %.1f are allowed", w.config.Name, w.limit.PerSecond, len(l.sent), limitSpan, allowed)
	}
}
