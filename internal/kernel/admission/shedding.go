package admission

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/capacity"
)

const (
	// ShedThreshold is the wait from which requests are shed, relative to the slack: how long a
	// request can wait and still get a response in time. shedSlope is the increase of the shed
	// ratio per further multiple of the slack. A short queue for a moment is no overload. Rejected
	// callers retry, so a third of the requests must be rejected to reduce the load by a tenth.
	ShedThreshold = 0.5
	shedSlope     = 1.0
	// maxShedRatio leaves a part of the requests that is always sent, so that the end of an
	// overload is noticed.
	maxShedRatio = 0.7
	// urgentShedSlope is shedSlope for requests that yield to more urgent ones. All but the minimum
	// are shed before the wait uses up three quarters of the slack of the urgent requests: the wait
	// of single requests varies around its mean.
	urgentShedSlope = 4.0
	// maxUrgentShedRatio leaves less urgent requests a minimum of one in ten, so that they do not
	// stop entirely while more urgent ones fill the servers.
	maxUrgentShedRatio = 0.9
	// maxShedRatioForEarlyRetry is the largest share of rejected requests at which rejected callers
	// get a retry delay within the target. Up to it, more than half of the retries are accepted and
	// get a response in time. Above it, callers should wait for the overload to end.
	maxShedRatioForEarlyRetry = 0.5
	// takeoverMaxPressure is the pressure up to which the servers of a region take over requests
	// that run cold there. It is half of the pressure from which requests are shed.
	takeoverMaxPressure = 0.25
	// serverLoadTTL is the age up to which the load of the single server is used. If there are only
	// a few proxies, each receives load reports from each server often enough to rely on that
	// server's queue. If there are many, the queues of all servers in the region are used together.
	serverLoadTTL = 500 * time.Millisecond
)

const (
	// ShedNone means that the request is admitted.
	ShedNone ShedCause = iota
	// ShedOwnTarget means that the wait is too long for the request's own target.
	ShedOwnTarget
	// ShedUrgentTarget means that the wait is too long for the targets of more urgent requests.
	ShedUrgentTarget
)

type (
	// Shedder decides which requests to reject because of the queues at their servers: the load
	// exceeds the capacity, their responses would be late, and those of all later requests would be
	// later still.
	Shedder struct {
		// ByPriority is set if less urgent requests are also shed where more urgent ones would miss
		// their targets.
		ByPriority bool
	}

	// ShedCause is why a request is rejected.
	ShedCause uint8

	// ShedRequest describes a request that has not been sent yet.
	ShedRequest struct {
		// Priority is the priority of the request, LowestPriority that of the least urgent requests
		// of its service.
		Priority, LowestPriority int
		// Target is the latency target, Work the time that the request usually takes, and Elapsed
		// the time since it arrived.
		Target, RoundTrip, Work, Elapsed time.Duration
		// Wait is the expected wait at the chosen server. FreeSlots is set if that server has
		// reported recently that it has free slots.
		Wait      time.Duration
		FreeSlots bool
		// UrgentSlack is how long more urgent requests can wait and still meet their targets,
		// without the round trip. HasUrgent is set if there are any.
		UrgentSlack time.Duration
		HasUrgent   bool
		// SlotsReserved is set if slots are reserved for the more urgent requests, so that they need
		// not wait behind this one.
		SlotsReserved bool
		// AccountRatio returns the share of requests to reject for the account of the request,
		// given that for all requests. If it is nil, all accounts are treated alike.
		AccountRatio func(overall float64) float64
	}

	// ShedDecision is the decision on one request.
	ShedDecision struct {
		Cause ShedCause
		// Wait is the expected wait for a slot, and Limit the wait from which requests are shed.
		Wait, Limit time.Duration
		// Pressure is the wait relative to the slack of the request.
		Pressure float64
		// Ratio is the share of requests to reject, and AccountRatio that for the account of the
		// request.
		Ratio, AccountRatio float64
		// MinRetryAfter and MaxRetryAfter bound the retry delay. Zero means the usual bound.
		MinRetryAfter, MaxRetryAfter time.Duration
	}
)

// Decide decides whether to reject a request, from the load of the region and that of the chosen
// server. Routes that are more urgent than others of the service are exempt until half of all
// requests are rejected.
func (s Shedder) Decide(region, server capacity.Load, r ShedRequest, random *rand.Rand) ShedDecision {
	l := region
	if server.Age >= 0 && server.Age < serverLoadTTL {
		l = server
	}
	slack := r.Target - r.RoundTrip - r.Work
	d := ShedDecision{Cause: ShedOwnTarget, Wait: l.Wait, Limit: time.Duration(ShedThreshold * float64(slack)), Pressure: l.Pressure}
	if s.ByPriority && (r.HasUrgent || r.Priority < r.LowestPriority) {
		// The mean pressure mixes the targets of routes that have little in common.
		d.Pressure = pressure(l, slack)
	}
	ratio := ShedRatio(d.Pressure)
	if s.ByPriority && r.FreeSlots {
		// The figures of the region, and the mean of those of the server, lag behind.
		ratio = 0
	} else if s.ByPriority && r.HasUrgent && !r.SlotsReserved {
		// Callers near the server have more slack than this proxy's.
		urgentSlack := max(r.UrgentSlack-r.RoundTrip, r.UrgentSlack/2)
		wait := max(l.Wait, r.Wait)
		if urgent := urgentShedRatio(wait, urgentSlack); urgent > ratio {
			ratio, d.Cause, d.Wait, d.Limit = urgent, ShedUrgentTarget, wait, time.Duration(ShedThreshold*float64(urgentSlack))
		}
	}
	if r.Priority < r.LowestPriority {
		ratio = max(0, 2*ratio-1)
	}
	d.Ratio, d.AccountRatio = ratio, ratio
	if ratio > 0 && r.AccountRatio != nil {
		d.AccountRatio = r.AccountRatio(ratio)
	}
	if d.AccountRatio == 0 || random.Float64() >= d.AccountRatio {
		d.Cause = ShedNone
		return d
	}
	d.MinRetryAfter, d.MaxRetryAfter = d.retryAfter(max(0, (slack-r.Elapsed)/2))
	return d
}

// retryAfter returns the range of the retry delay, given half of the time that the caller can wait
// and still get a response in time. Requests that yield to urgent ones return when the servers have
// worked off what exceeds the limit, spread over the time in which they still meet their target.
func (d ShedDecision) retryAfter(early time.Duration) (shortest, longest time.Duration) {
	switch {
	case d.Cause == ShedUrgentTarget:
		excess := d.Wait - d.Limit
		return excess, max(early, 2*excess)
	case d.AccountRatio <= maxShedRatioForEarlyRetry:
		return 0, early
	}
	return 0, 0
}

// ShedRatio returns the share of requests to reject at a pressure. It grows with the queue and so
// settles where the rejected requests equal those that the servers cannot handle. The others then
// meet a queue in which they get a response in time. Without shedding, the queue would fill up and
// nearly all responses would be late.
func ShedRatio(pressure float64) float64 {
	return min(maxShedRatio, max(0, shedSlope*(pressure-ShedThreshold)))
}

// urgentShedRatio returns the share of requests to reject so that more urgent ones, which can wait
// for the given time, do not wait for more than half of it.
func urgentShedRatio(wait, slack time.Duration) float64 {
	if slack <= 0 {
		return 0
	}
	return min(maxUrgentShedRatio, max(0, urgentShedSlope*(float64(wait)/float64(slack)-ShedThreshold)))
}

// pressure returns the wait relative to the slack. One waiting request per slot is no overload even
// if that takes longer than the slack.
func pressure(l capacity.Load, slack time.Duration) float64 {
	if l.MeanWork <= 0 {
		return 0
	}
	return l.WaitingPerSlot / max(1, float64(slack)/float64(l.MeanWork))
}

// TakesOver reports whether the servers of a region may run requests whose home, in this or another
// region, is full or unavailable.
func TakesOver(region capacity.Load) bool { return region.Pressure <= takeoverMaxPressure }

// InferWaiting infers how many requests waited at a server that does not report its load, from the
// duration of a response and that of the work alone.
func InferWaiting(duration, work time.Duration, slots int) float64 {
	return max(0, float64(duration-work)/float64(work)*float64(slots))
}

// QueueEvidence returns how many of the inferred waiting requests count as a queue, given the room
// for them and the time available for a response in time. Durations vary without a queue, too, so a
// response in time is no evidence of overload. Neither is a late one if the work alone takes longer
// than the available time; nothing is known of the queue then.
func QueueEvidence(waiting, room float64, duration, work, available time.Duration) (float64, bool) {
	switch {
	case work > available:
		return 0, false
	case duration <= available:
		return min(waiting, ShedThreshold*room), true
	}
	return waiting, true
}
