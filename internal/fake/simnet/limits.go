package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
)

const (
	// limitWindow is the window in which the requests to a server are counted against its limit;
	// limitFactor and limitAllowance are what is tolerated beyond the limit.
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitGracePeriod is how long a limit is not enforced by the check after the server first
	// advertises it, reactionTime how long a proxy may take to act on a response.
	limitGracePeriod = 4 * time.Second
	reactionTime     = 500 * time.Millisecond
	// maxRequestsInPause is the number of requests that one process may still send to a server
	// during a pause.
	maxRequestsInPause = 2
)

type (
	// limitCheck tracks what a server receives since it advertised a limit.
	limitCheck struct {
		advertisedAt time.Time
		// knownSince is when each process first received the limit.
		knownSince map[string]time.Time
		// sentAt are the times of the requests from processes that knew the limit.
		sentAt []time.Time
	}

	pauseKey struct {
		server, process string
	}

	// pauseCheck tracks a pause that a server requested from a process, and the requests sent
	// during it.
	pauseCheck struct {
		from, until time.Time
		requests    int
	}
)

// recordReport records the limit and the pause that a process learns from a server's report.
func (c *Checks) recordReport(p *Proxy, server *BackendServer, report *backend.Report) {
	if report == nil {
		return
	}
	if pause := report.Signal.Pause; pause > 0 {
		key, now := pauseKey{server.config.Name, p.incarnationID()}, c.sim.now
		if known := c.serverPauses[key]; known == nil || now.After(known.until) {
			c.serverPauses[key] = &pauseCheck{from: now.Add(reactionTime), until: now.Add(pause)}
		}
	}
	check := c.serverLimits[server.config.Name]
	if check == nil || !report.Signal.Limit.Set {
		return
	}
	if _, known := check.knownSince[p.incarnationID()]; !known {
		check.knownSince[p.incarnationID()] = c.sim.now
	}
}

// checkServerPause verifies that a server receives at most maxRequestsInPause requests from a
// process during a pause that it requested.
func (c *Checks) checkServerPause(p *Proxy, server *BackendServer) {
	now, pause := c.sim.now, c.serverPauses[pauseKey{server.config.Name, p.incarnationID()}]
	if pause == nil || p.clockLag > 0 || now.Before(pause.from) || !now.Before(pause.until) {
		return
	}
	if pause.requests++; pause.requests > maxRequestsInPause {
		c.violate("%s received %d requests from %s during a pause that it had requested", server.config.Name, pause.requests, p.name)
	}
}

// checkServerLimit verifies that a server receives no more than its limit from the processes that
// know it, within the tolerance.
func (c *Checks) checkServerLimit(p *Proxy, server *BackendServer) {
	check := c.serverLimits[server.config.Name]
	if check == nil {
		return
	}
	now := c.sim.now
	if since, known := check.knownSince[p.incarnationID()]; known && now.Sub(since) >= reactionTime {
		check.sentAt = append(check.sentAt, now)
	}
	for len(check.sentAt) > 0 && now.Sub(check.sentAt[0]) >= limitWindow {
		check.sentAt = check.sentAt[1:]
	}
	allowed := limitFactor*limitWindow.Seconds()*server.limit.PerSecond + limitAllowance
	if now.Sub(check.advertisedAt) >= limitGracePeriod && float64(len(check.sentAt)) > allowed {
		c.violate("%s advertises a limit of %.1f requests per second and received %d in %s, %.1f are allowed", server.config.Name, server.limit.PerSecond, len(check.sentAt), limitWindow, allowed)
	}
}
