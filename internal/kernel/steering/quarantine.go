package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// QuarantinedWork is work that is refused.
	QuarantinedWork struct {
		quarantine.Report
		// Rank is this proxy's place among those that see to it: the first ones keep it
		// in the platform's store, and try it again first.
		Rank int
		// QuarantinedFor is how much longer it is refused here.
		QuarantinedFor time.Duration
	}
)

// checkQuarantine says whether the request's work may run now; a reason is given if not. Work that
// has been there at the ends of servers runs once at a time, and not again by ourselves:
// each run may cost one more server and all that it has.
func (k *Kernel) checkQuarantine(now time.Time, req *ActiveRequest) Reason {
	req.workSuspected = false
	if req.Work.None() || !k.isEnabled(MechanismQuarantine) {
		return ReasonNone
	}
	ruling, left := k.quarantine.Rule(now, req.Work)
	req.workSuspected = ruling != quarantine.Clear
	switch {
	case ruling == quarantine.Condemned:
		req.quarantinedFor = min(left, quarantine.AwayMost)
		return ReasonCrashesServers
	case ruling == quarantine.Busy, ruling == quarantine.Suspected && req.connectionsLost > 0:
		return ReasonMayCrashServers
	}
	return ReasonNone
}

// trialRank is this proxy's place in the order in which proxies try refused work again,
// another one for each work.
func (k *Kernel) trialRank(w quarantine.Work) int {
	n := len(k.limitSharers)
	if n == 0 {
		return 0
	}
	return (k.ownIndex + int(w[0])<<8 + int(w[1])) % n
}

// chooseLeastLoaded picks the server with the least to lose for suspected work: of those that
// may take it, the one that runs the fewest, near ones first.
func (k *Kernel) chooseLeastLoaded(now time.Time, req *ActiveRequest, svc *service) (*server, choice) {
	best := choice{reason: ReasonNoServer}
	req.workEstimate = svc.workOf(req.Route)
	least := 0.0
	for _, s := range svc.eligible {
		if !k.mayUse(now, req, s) {
			continue
		}
		load := s.load(now) + float64(s.rtt.roundTrip)/float64(max(req.Route.Target, time.Millisecond))
		if s.isCold(now) {
			if !k.coldRoom(now, svc, s) {
				continue
			}
			// After the servers of a service have ended all are cold, and work that
			// is sound must be able to show it.
			load += float64(s.Slots)
		}
		if best.server != nil && load >= least {
			continue
		}
		least = load
		best = k.estimate(now, req, s, nil)
	}
	if best.server != nil && best.server.isCold(now) {
		best.server.coldRate.Take(now)
	}
	return best.server, best
}

// recordCrashEvidence takes in what an attempt tells of whether its server has ended, and what of
// the request's work.
func (k *Kernel) recordCrashEvidence(now time.Time, req *ActiveRequest, s *server, a Attempt) {
	q := k.quarantine
	q.Stopped(req.Work)
	switch a.Result {
	case ResultAnswered, ResultServerError, ResultRefused:
		q.Answered(s.startID, req.sentAt)
		if a.Result == ResultAnswered && !a.Rejected {
			// A server that fails or rejects a request may not have come to what
			// ends it.
			q.RanWell(now, req.Work)
		}
	case ResultConnectionLost:
		req.connectionsLost++
		if s.isEligible() && s.absentUntil.IsZero() {
			// A server that leaves as planned may cut what it still has.
			q.Broke(now, req.Work, s.startID)
		}
	case ResultWrongServer:
		q.HasEnded(now, s.startID)
	case ResultUnreachable:
		if a.Refusing {
			q.HasEnded(now, s.startID)
		}
	}
}

// ServersToProbe lists the servers of which it must be found out whether they have ended.
func (k *Kernel) ServersToProbe() []routing.Server {
	doubtful := k.quarantine.Doubtful()
	if len(doubtful) == 0 {
		return nil
	}
	k.record(Call{Method: callServersToProbe})
	wanted := make(map[quarantine.Server]bool, len(doubtful))
	for _, s := range doubtful {
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

// RecordConnectionRefused notes that nothing listens where a server was.
func (k *Kernel) RecordConnectionRefused(now time.Time, id string) {
	k.record(Call{Method: callConnectionRefused, At: now, ID: id})
	if s := k.servers[id]; s != nil {
		k.quarantine.HasEnded(now, s.startID)
		s.recordFailure(now, true)
	}
}

// QuarantineReports lists what peers should hear of work that ends servers; all of it for one
// that knows nothing yet.
func (k *Kernel) QuarantineReports(now time.Time, all bool) []quarantine.Report {
	return k.quarantine.Reports(now, all)
}

// QuarantinedWork lists the work that is refused.
func (k *Kernel) QuarantinedWork(now time.Time) []QuarantinedWork {
	var list []QuarantinedWork
	for _, r := range k.quarantine.Condemnations(now) {
		_, left := k.quarantine.Rule(now, r.Work)
		list = append(list, QuarantinedWork{Report: r, Rank: k.trialRank(r.Work), QuarantinedFor: left})
	}
	return list
}

// ApplyQuarantineReports takes in what a peer knows.
func (k *Kernel) ApplyQuarantineReports(now time.Time, list []quarantine.Report) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callQuarantineReports, At: now, QuarantineReports: list})
	k.quarantine.Hear(now, list)
}

// QuarantinePending reports whether there is anything about work that ends servers to find out or
// to tell at once.
func (k *Kernel) QuarantinePending() bool { return k.quarantine.Stirred() }

// QuarantineReportsUrgent reports, once, whether peers should hear of suspicions at once.
func (k *Kernel) QuarantineReportsUrgent() bool { return k.quarantine.Urgent() }

// observeQuarantine tells of what has become of a work or of a server that had some.
func (k *Kernel) observeQuarantine(n quarantine.Notice) {
	e := Event{Kind: EventKind(n.Change), Fingerprint: n.Work, Crashes: n.Ends, RunningFingerprints: n.Works}
	for _, s := range k.servers {
		if n.Change == quarantine.ChangeEnded && s.startID == n.Server {
			e.Server, e.Service = s.id, s.Service
		}
	}
	k.config.Observe(e)
}
