package core

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// incarnationResolution tells the starts of a server apart, which has one name for good: ends of
	// one name within it count once, since all proxies must name an end alike.
	incarnationResolution = 8 * time.Second
)

// checkQuarantine says whether a request's work may run now; a reason and a time to come back are
// given if not.
func (k *Kernel) checkQuarantine(now time.Time, f *inFlightRequest) (caller.Reason, time.Duration) {
	if f.work.None() {
		return caller.ReasonNone, 0
	}
	ruling, left := k.quarantine.Rule(now, f.work)
	switch {
	case ruling == quarantine.Condemned:
		return caller.ReasonEndsServers, min(left, quarantine.AwayMost)
	case ruling == quarantine.Busy, ruling == quarantine.Suspected && f.interruptions > 0, f.interruptions >= quarantine.BreaksMost:
		return caller.ReasonMayEndServers, time.Second
	}
	return caller.ReasonNone, 0
}

// trialRank is this proxy's place in the order in which proxies try refused work again.
func (k *Kernel) trialRank(w quarantine.Work) int {
	members := k.members.All()
	before := 0
	for _, m := range members {
		if m.Name < k.config.Self.Name {
			before++
		}
	}
	return (before + int(w[0])) % max(1, len(members))
}

// recordAttemptEnd takes in what an attempt tells of whether its server has ended.
func (k *Kernel) recordAttemptEnd(now time.Time, f *inFlightRequest, e AttemptEnd) {
	q := k.quarantine
	q.Stopped(f.work)
	switch e.Result {
	case backend.Answered, backend.Rejected:
		q.Answered(k.incarnations[f.server.Name], f.sentAt)
		if e.Answer != nil && e.Answer.Status < http.StatusBadRequest {
			// A server that fails or rejects a request may not have come to what
			// ends it.
			q.RanWell(now, f.work)
		}
	case backend.Interrupted:
		f.interruptions++
		if !f.server.Leaving() {
			// A server that leaves as planned may cut what it still has.
			q.Broke(now, f.work, k.incarnationOf(now, f.server.Name))
		}
	case backend.Unreachable:
		if e.ConnectionRefused {
			k.recordServerExit(now, f.server.Name)
		}
	}
}

// incarnationOf names the present start of a server, as all proxies do that see it end now.
func (k *Kernel) incarnationOf(now time.Time, server string) quarantine.Server {
	s, known := k.incarnations[server]
	if !known {
		s = quarantine.ServerOf(server, k.clock.Now(now).Time().Truncate(incarnationResolution))
		k.incarnations[server] = s
	}
	return s
}

// recordServerExit notes that nothing listens where a server was.
func (k *Kernel) recordServerExit(now time.Time, server string) {
	if s, known := k.incarnations[server]; known {
		k.quarantine.HasEnded(now, s)
		delete(k.incarnations, server)
	}
}

// probeSuspectServers asks servers at which exchanges broke whether they are still there.
func (k *Kernel) probeSuspectServers(actions []Action) []Action {
	wanted := make(map[quarantine.Server]bool)
	for _, s := range k.quarantine.Doubtful() {
		wanted[s] = true
	}
	if len(wanted) == 0 {
		return actions
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if wanted[k.incarnations[s.Name]] {
				actions = append(actions, SendProbe{Server: s.Name, Address: s.Address})
			}
		}
	}
	return actions
}

// propagateSuspicions spreads what other proxies should hear at once.
func (k *Kernel) propagateSuspicions(now time.Time) {
	k.quarantine.Tick(now)
	for name, s := range k.incarnations {
		if !k.quarantine.Awaits(s) {
			delete(k.incarnations, name)
		}
	}
	if k.quarantine.Urgent() {
		k.scheduleGossip(now)
	}
}

// logWorkChange tells of what has become of a work.
func (k *Kernel) logWorkChange(n quarantine.Notice) {
	detail := n.Work.String()
	if n.Change == quarantine.ChangeEnded {
		detail = strconv.Itoa(len(n.Works)) + " works there"
	}
	k.log(k.lastTick, Event{Kind: EventKind(n.Change), Detail: detail})
}
