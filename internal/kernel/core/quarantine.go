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
	// incarnationResolution is the granularity of the time that identifies an incarnation of a
	// server, which keeps its name across restarts. All proxies must identify an incarnation alike,
	// so exits of one server within this time count once.
	incarnationResolution = 8 * time.Second
)

// checkQuarantine returns caller.ReasonNone if the request may run now. Otherwise it returns the
// reason for the rejection and the time after which the caller may retry.
func (k *Kernel) checkQuarantine(now time.Time, inflight *inFlightRequest) (caller.Reason, time.Duration) {
	if inflight.fingerprint.IsEmpty() {
		return caller.ReasonNone, 0
	}
	status, remaining := k.quarantine.Status(now, inflight.fingerprint)
	switch {
	case status == quarantine.Quarantined:
		return caller.ReasonCrashesServers, min(remaining, quarantine.MaxRetryAfter)
	case status == quarantine.Busy, status == quarantine.Suspected && inflight.interruptions > 0, inflight.interruptions >= quarantine.MaxConnectionLosses:
		return caller.ReasonMayCrashServers, time.Second
	}
	return caller.ReasonNone, 0
}

// trialRank returns this proxy's position in the order in which proxies retry a quarantined
// request.
func (k *Kernel) trialRank(fingerprint quarantine.Fingerprint) int {
	members := k.members.All()
	before := 0
	for _, m := range members {
		if m.Name < k.config.Self.Name {
			before++
		}
	}
	return (before + int(fingerprint[0])) % max(1, len(members))
}

// recordAttemptEnd updates the quarantine with what the end of an attempt tells about its request
// and its server.
func (k *Kernel) recordAttemptEnd(now time.Time, inflight *inFlightRequest, e AttemptEnd) {
	q := k.quarantine
	q.RecordStop(inflight.fingerprint)
	switch e.Result {
	case backend.Completed, backend.Rejected:
		q.RecordResponse(k.incarnations[inflight.server.Name], inflight.sentAt)
		if e.Response != nil && e.Response.Status < http.StatusBadRequest {
			// A server that fails or rejects a request may not have reached the point at which the
			// request would crash it.
			q.RecordSuccess(now, inflight.fingerprint)
		}
	case backend.Interrupted:
		inflight.interruptions++
		if !inflight.server.Draining() {
			// A draining server may close the connections of its remaining requests.
			q.RecordConnectionLoss(now, inflight.fingerprint, k.incarnationOf(now, inflight.server.Name))
		}
	case backend.Unreachable:
		if e.ConnectionRefused {
			k.recordServerExit(now, inflight.server.Name)
		}
	}
}

// incarnationOf returns the identifier of a server's current incarnation, which all proxies that
// see it exit now derive alike.
func (k *Kernel) incarnationOf(now time.Time, server string) quarantine.InstanceID {
	incarnation, known := k.incarnations[server]
	if !known {
		incarnation = quarantine.NewInstanceID(server, k.clock.Now(now).Time().Truncate(incarnationResolution))
		k.incarnations[server] = incarnation
	}
	return incarnation
}

// recordServerExit records that nothing listens on the server's address any more.
func (k *Kernel) recordServerExit(now time.Time, server string) {
	if incarnation, known := k.incarnations[server]; known {
		k.quarantine.RecordServerGone(now, incarnation)
		delete(k.incarnations, server)
	}
}

// probeSuspectServers probes the servers with interrupted attempts to find out whether they have
// exited.
func (k *Kernel) probeSuspectServers(actions []Action) []Action {
	suspects := make(map[quarantine.InstanceID]bool)
	for _, s := range k.quarantine.ServersToProbe() {
		suspects[s] = true
	}
	if len(suspects) == 0 {
		return actions
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if suspects[k.incarnations[s.Name]] {
				actions = append(actions, SendProbe{Server: s.Name, Address: s.Address})
			}
		}
	}
	return actions
}

// propagateSuspicions advances the quarantine, drops incarnations that it no longer tracks, and
// schedules gossip for urgent suspicions.
func (k *Kernel) propagateSuspicions(now time.Time) {
	k.quarantine.Tick(now)
	for name, s := range k.incarnations {
		if !k.quarantine.HasPendingLoss(s) {
			delete(k.incarnations, name)
		}
	}
	if k.quarantine.TakeUrgent() {
		k.scheduleGossip(now)
	}
}

// logQuarantineEvent logs a crash of a server or a change in the quarantine state of a
// fingerprint.
func (k *Kernel) logQuarantineEvent(event quarantine.Event) {
	detail := event.Fingerprint.String()
	if event.Type == quarantine.EventServerCrashed {
		detail = strconv.Itoa(len(event.Fingerprints)) + " works there"
	}
	k.log(k.lastTick, Event{Kind: EventKind(event.Type), Detail: detail})
}
