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
	// startSpan tells the starts of a server apart, which has one name for good: ends of
	// one name within it count once, since all proxies must name an end alike.
	startSpan = 8 * time.Second
)

// mayRun says whether a request's work may run now; a reason and a time to come back are
// given if not.
func (k *Kernel) mayRun(now time.Time, f *flight) (caller.Reason, time.Duration) {
	if f.work.IsEmpty() {
		return caller.ReasonNone, 0
	}
	ruling, left := k.quarantine.Status(now, f.work)
	switch {
	case ruling == quarantine.Quarantined:
		return caller.ReasonEndsServers, min(left, quarantine.MaxRetryAfter)
	case ruling == quarantine.Busy, ruling == quarantine.Suspected && f.breaks > 0, f.breaks >= quarantine.MaxConnectionLosses:
		return caller.ReasonMayEndServers, time.Second
	}
	return caller.ReasonNone, 0
}

// trialRank is this proxy's place in the order in which proxies try refused work again.
func (k *Kernel) trialRank(w quarantine.Fingerprint) int {
	members := k.members.All()
	before := 0
	for _, m := range members {
		if m.Name < k.config.Self.Name {
			before++
		}
	}
	return (before + int(w[0])) % max(1, len(members))
}

// learnEnd takes in what an attempt tells of whether its server has ended.
func (k *Kernel) learnEnd(now time.Time, f *flight, e AttemptEnd) {
	q := k.quarantine
	q.RecordStop(f.work)
	switch e.Result {
	case backend.Answered, backend.Refused:
		q.RecordResponse(k.starts[f.server.Name], f.sent)
		if e.Answer != nil && e.Answer.Status < http.StatusBadRequest {
			// A server that fails or rejects a request may not have come to what
			// ends it.
			q.RecordSuccess(now, f.work)
		}
	case backend.Broken:
		f.breaks++
		if !f.server.Leaving() {
			// A server that leaves as planned may cut what it still has.
			q.RecordConnectionLoss(now, f.work, k.startOf(now, f.server.Name))
		}
	case backend.Unreachable:
		if e.Refusing {
			k.serverEnded(now, f.server.Name)
		}
	}
}

// startOf names the present start of a server, as all proxies do that see it end now.
func (k *Kernel) startOf(now time.Time, server string) quarantine.InstanceID {
	s, known := k.starts[server]
	if !known {
		s = quarantine.NewInstanceID(server, k.clock.Now(now).Time().Truncate(startSpan))
		k.starts[server] = s
	}
	return s
}

// serverEnded notes that nothing listens where a server was.
func (k *Kernel) serverEnded(now time.Time, server string) {
	if s, known := k.starts[server]; known {
		k.quarantine.RecordServerGone(now, s)
		delete(k.starts, server)
	}
}

// probeDoubted asks servers at which exchanges broke whether they are still there.
func (k *Kernel) probeDoubted(actions []Action) []Action {
	wanted := make(map[quarantine.InstanceID]bool)
	for _, s := range k.quarantine.ServersToProbe() {
		wanted[s] = true
	}
	if len(wanted) == 0 {
		return actions
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if wanted[k.starts[s.Name]] {
				actions = append(actions, SendProbe{Server: s.Name, Address: s.Address})
			}
		}
	}
	return actions
}

// followSuspicions spreads what other proxies should hear at once.
func (k *Kernel) followSuspicions(now time.Time) {
	k.quarantine.Tick(now)
	for name, s := range k.starts {
		if !k.quarantine.HasPendingLoss(s) {
			delete(k.starts, name)
		}
	}
	if k.quarantine.TakeUrgent() {
		k.spreadNews(now)
	}
}

// observeWork tells of what has become of a work.
func (k *Kernel) observeWork(n quarantine.Event) {
	detail := n.Fingerprint.String()
	if n.Type == quarantine.EventServerCrashed {
		detail = strconv.Itoa(len(n.Fingerprints)) + " works there"
	}
	k.log(k.lastTick, Event{Kind: Kind(n.Type), Detail: detail})
}
