package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
)

const (
	// limitWindow is the window in which a server's limit is judged, limitFactor and
	// limitSlack what is allowed there beyond it.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitGracePeriod is how long after it is first named a limit is not judged, heedWithin how
	// long a proxy may take to heed an answer.
	limitGracePeriod = 4 * time.Second
	reactionTime     = 500 * time.Millisecond
	// maxRequestsInPause is how many requests of a process may reach a server in a pause.
	maxRequestsInPause = 2
)

type (
	// limitCheck is what a server got since it names a limit.
	limitCheck struct {
		announcedAt time.Time
		// knownSince is when each process has heard of it.
		knownSince map[string]time.Time
		// sentAt are the moments of the requests from processes that knew.
		sentAt []time.Time
	}

	pauseKey struct {
		server, process string
	}

	// pauseCheck is a pause that a server has asked a process for, and what came in it.
	pauseCheck struct {
		from, until time.Time
		requests    int
	}
)

// recordReport notes what a process hears of what a server asks.
func (c *Checks) recordReport(p *Proxy, w *BackendServer, r *backend.Report) {
	if r == nil {
		return
	}
	if pause := r.Signal.Pause; pause > 0 {
		key, now := pauseKey{w.config.Name, p.incarnationID()}, c.sim.now
		if known := c.serverPauses[key]; known == nil || now.After(known.until) {
			c.serverPauses[key] = &pauseCheck{from: now.Add(reactionTime), until: now.Add(pause)}
		}
	}
	l := c.serverLimits[w.config.Name]
	if l == nil || !r.Signal.Limit.Set {
		return
	}
	if _, known := l.knownSince[p.incarnationID()]; !known {
		l.knownSince[p.incarnationID()] = c.sim.now
	}
}

// checkServerPause asserts that a server gets hardly anything in a pause that it has asked for.
func (c *Checks) checkServerPause(p *Proxy, w *BackendServer) {
	now, pause := c.sim.now, c.serverPauses[pauseKey{w.config.Name, p.incarnationID()}]
	if pause == nil || p.clockLag > 0 || now.Before(pause.from) || !now.Before(pause.until) {
		return
	}
	if pause.requests++; pause.requests > maxRequestsInPause {
		c.violate("%s got %d requests from %s in a pause that it had asked for", w.config.Name, pause.requests, p.name)
	}
}

// checkServerLimit asserts that a server gets no more than it has asked for from those who know.
func (c *Checks) checkServerLimit(p *Proxy, w *BackendServer) {
	l := c.serverLimits[w.config.Name]
	if l == nil {
		return
	}
	now := c.sim.now
	if since, known := l.knownSince[p.incarnationID()]; known && now.Sub(since) >= reactionTime {
		l.sentAt = append(l.sentAt, now)
	}
	for len(l.sentAt) > 0 && now.Sub(l.sentAt[0]) >= limitWindow {
		l.sentAt = l.sentAt[1:]
	}
	allowed := limitFactor*limitWindow.Seconds()*w.limit.PerSecond + limitAllowance
	if now.Sub(l.announcedAt) >= limitGracePeriod && float64(len(l.sentAt)) > allowed {
		c.violate("%s names a limit of %.1f a second and got %d requests in %s, %.1f are allowed", w.config.Name, w.limit.PerSecond, len(l.sentAt), limitWindow, allowed)
	}
}
