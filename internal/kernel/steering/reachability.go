package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/reachability"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// openConnectionsTimeout is how long after the last response a proxy that can't open new
	// connections to servers still uses the open ones.
	openConnectionsTimeout = time.Second
	// cutDetectionTime is the longest time from the beginning of a cut until it is detected.
	// Servers that failed since then count as sound when the cut ends.
	cutDetectionTime = 3 * time.Second
)

// recordReachability records whether the server of an attempt responded.
func (k *Kernel) recordReachability(now time.Time, a *sentAttempt, ended Attempt) {
	switch ended.Result {
	case ResultResponded, ResultServerError, ResultRejected, ResultWrongServer:
		k.reachability.RecordResponse(now, a.id, a.server.id, ended.RoundTrip > 0)
	case ResultUnreachable, ResultConnectionLost:
		k.reachability.RecordFailure(now, a.id, a.server.id)
	default:
		k.reachability.RecordEnd(a.id)
	}
}

// CutOff reports whether this proxy is cut off from all servers.
func (k *Kernel) CutOff() bool { return k.reachability.CutOff() }

// ServersToReach returns the servers that must be probed to find out whether this proxy is cut off
// from all of them, and whether that is due now. Then the result of the probes must be passed to
// RecordReachability.
func (k *Kernel) ServersToReach(now time.Time) (_ []routing.Server, due bool) {
	if !k.reachability.BeginRound(now) {
		return nil, false
	}
	k.record(Call{Method: callServersToReach, At: now})
	var list, sameDomain []routing.Server
	domains := make(map[string]bool)
	for _, s := range k.servers {
		switch {
		case !s.isEligible() || !k.isRouted(s.Service):
		case !domains[s.Domain] && len(list) < reachability.ProbeCount:
			domains[s.Domain] = true
			list = append(list, s.Server)
		case len(sameDomain) < reachability.ProbeCount:
			sameDomain = append(sameDomain, s.Server)
		}
	}
	missing := min(reachability.ProbeCount-len(list), len(sameDomain))
	return append(list, sameDomain[:missing]...), true
}

// RecordReachability records how many of the probed servers responded.
func (k *Kernel) RecordReachability(now time.Time, responded, probed int) {
	k.record(Call{Method: callReachability, At: now, Count: responded, Total: probed})
	since := k.reachability.ChangedAt()
	if !k.reachability.EndRound(now, responded, probed) {
		return
	}
	if !k.CutOff() {
		k.restoreSilentServers(now, since.Add(-cutDetectionTime))
	}
	e := Event{Kind: EventReachability, At: now, CutOff: k.CutOff()}
	if !e.CutOff {
		e.Duration = now.Sub(since)
	}
	k.config.Observe(e)
}

// restoreSilentServers clears the ejection of servers that did not respond since the given time.
func (k *Kernel) restoreSilentServers(now, since time.Time) {
	for _, s := range k.servers {
		if s.silentAt.After(since) {
			s.ejections, s.failuresInRow, s.ejectedUntil, s.silentAt = 0, 0, now, time.Time{}
		}
	}
}

// someServerResponds reports whether a proxy that is cut off should send requests that no peer can
// take: a server responded to the last probes, or servers respond on connections that are open.
// If all servers have failed, all proxies are cut off, and the first server that returns is used.
func (k *Kernel) someServerResponds(now time.Time) bool {
	return k.reachability.LastRoundResponded() || k.reachability.RespondsSince(now.Add(-openConnectionsTimeout))
}
