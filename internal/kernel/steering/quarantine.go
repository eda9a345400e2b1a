package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// QuarantinedWork is a request fingerprint that is rejected.
	QuarantinedWork struct {
		quarantine.Report
		// Rank is this proxy's rank among those responsible for the fingerprint. The first ones
		// keep it in the platform's store and are the first to try it again.
		Rank int
		// QuarantinedFor is how much longer it is rejected at this proxy.
		QuarantinedFor time.Duration
	}
)

// checkQuarantine returns the reason why the request's fingerprint must not run now, or ReasonNone
// if it may. A fingerprint that was in flight when servers crashed runs one request at a time and
// is not retried by the proxy: each run may crash another server with all its requests.
func (k *Kernel) checkQuarantine(now time.Time, req *ActiveRequest) Reason {
	req.workSuspected = false
	if req.Work.IsEmpty() || !k.isEnabled(MechanismQuarantine) {
		return ReasonNone
	}
	status, remaining := k.quarantine.Status(now, req.Work)
	req.workSuspected = status != quarantine.Clear
	switch {
	case status == quarantine.Quarantined:
		req.quarantinedFor = min(remaining, quarantine.MaxRetryAfter)
		return ReasonCrashesServers
	case status == quarantine.Busy, status == quarantine.Suspected && req.connectionsLost > 0:
		return ReasonMayCrashServers
	}
	return ReasonNone
}

// trialRank returns this proxy's rank in the order in which proxies try a quarantined fingerprint
// again. The order differs between fingerprints.
func (k *Kernel) trialRank(w quarantine.Fingerprint) int {
	n := len(k.limitSharers)
	if n == 0 {
		return 0
	}
	return (k.ownIndex + int(w[0])<<8 + int(w[1])) % n
}

// chooseLeastLoaded chooses a server for a suspected fingerprint. It takes the one with the fewest
// running requests among those that can take it, preferring near ones, so that a crash loses the
// least.
func (k *Kernel) chooseLeastLoaded(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	best := choice{reason: ReasonNoServer}
	req.workEstimate, req.queuedWork = svc.workOf(req.Route), svc.queuedWork(req)
	minLoad := 0.0
	for _, s := range svc.eligible {
		if !k.mayUse(now, req, s) {
			continue
		}
		load := s.load(now) + float64(s.rtt.roundTrip)/float64(max(req.Route.Target, time.Millisecond))
		if s.isCold(now) {
			if !k.coldRoom(now, svc, s) {
				continue
			}
			// After the servers of a service have crashed, all of them are cold, and a harmless
			// fingerprint must still get the chance to succeed.
			load += float64(s.Slots)
		}
		if best.server != nil && load >= minLoad {
			continue
		}
		minLoad = load
		best = k.estimate(now, req, s, nil)
	}
	if best.server != nil && best.server.isCold(now) {
		best.server.use()
		best.server.coldRate.Record(now)
	}
	return best.server, best
}

// recordCrashEvidence records what an attempt shows about whether its server crashed and about the
// request's fingerprint.
func (k *Kernel) recordCrashEvidence(now time.Time, req *ActiveRequest, s *server, a Attempt) {
	tracker := k.quarantine
	tracker.RecordStop(req.Work)
	switch a.Result {
	case ResultResponded, ResultServerError, ResultRejected:
		tracker.RecordResponse(s.startID, req.sentAt)
		if a.Result == ResultResponded && !a.Rejected {
			// A server that fails or rejects a request may not have reached the part that crashes
			// it.
			tracker.RecordSuccess(now, req.Work)
		}
	case ResultConnectionLost:
		req.connectionsLost++
		if s.isEligible() && s.absentUntil.IsZero() {
			// A draining server may close the connections of its remaining requests.
			tracker.RecordConnectionLoss(now, req.Work, s.startID)
		}
	case ResultWrongServer:
		tracker.RecordServerGone(now, s.startID)
	case ResultUnreachable:
		if a.Refusing && !k.CutOff() {
			tracker.RecordServerGone(now, s.startID)
		}
	}
}

// ServersToProbe lists the servers that must be probed to find out whether they have crashed.
func (k *Kernel) ServersToProbe() []routing.Server {
	instances := k.quarantine.ServersToProbe()
	if len(instances) == 0 {
		return nil
	}
	k.record(Call{Method: callServersToProbe})
	wanted := make(map[quarantine.InstanceID]bool, len(instances))
	for _, s := range instances {
		wanted[s] = true
	}
	var list []routing.Server
	for _, s := range k.servers {
		if wanted[s.startID] {
			list = append(list, s.Server)
		}
	}
	return list
}

// RecordConnectionRefused records that no process listens at the address of a server. While this proxy
// is cut off, that is no evidence of a crash; whether its registration ends or another start
// registers still tells.
func (k *Kernel) RecordConnectionRefused(now time.Time, id string) {
	k.record(Call{Method: callConnectionRefused, At: now, ID: id})
	if s := k.servers[id]; s != nil && !k.CutOff() {
		k.quarantine.RecordServerGone(now, s.startID)
		s.recordFailure(now, true)
	}
}

// QuarantineReports lists the reports on fingerprints that are due to peers, or all of them for a
// peer that knows nothing yet.
func (k *Kernel) QuarantineReports(now time.Time, all bool) []quarantine.Report {
	return k.quarantine.Reports(now, all)
}

// QuarantinedWork lists the fingerprints that are rejected.
func (k *Kernel) QuarantinedWork(now time.Time) []QuarantinedWork {
	var list []QuarantinedWork
	for _, r := range k.quarantine.QuarantinedReports(now) {
		_, remaining := k.quarantine.Status(now, r.Fingerprint)
		list = append(list, QuarantinedWork{Report: r, Rank: k.trialRank(r.Fingerprint), QuarantinedFor: remaining})
	}
	return list
}

// ApplyQuarantineReports merges the reports of a peer.
func (k *Kernel) ApplyQuarantineReports(now time.Time, list []quarantine.Report) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callQuarantineReports, At: now, QuarantineReports: list})
	k.quarantine.Merge(now, list)
}

// QuarantinePending reports whether the quarantine has servers to probe or reports to send
// immediately.
func (k *Kernel) QuarantinePending() bool { return k.quarantine.NeedsAttention() }

// QuarantineReportsUrgent reports whether peers should get quarantine reports immediately. It
// reports this only once.
func (k *Kernel) QuarantineReportsUrgent() bool { return k.quarantine.TakeUrgent() }

// observeQuarantine reports a change of a fingerprint's status or a crash of a server with
// fingerprints in flight.
func (k *Kernel) observeQuarantine(change quarantine.Event) {
	e := Event{Kind: EventKind(change.Type), Fingerprint: change.Fingerprint, Crashes: change.Crashes, RunningFingerprints: change.Fingerprints}
	for _, s := range k.servers {
		if change.Type == quarantine.EventServerCrashed && s.startID == change.Server {
			e.Server, e.Service = s.id, s.Service
		}
	}
	k.config.Observe(e)
}
