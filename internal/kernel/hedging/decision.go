package hedging

import (
	"time"
)

const (
	// MaxPressure is the queue pressure above which nothing is hedged. It is half of the pressure
	// from which requests are shed: second runs would lengthen queues that are long already.
	MaxPressure = 0.25
	// delayMargin is the factor by which a run must exceed the long duration before it is hedged.
	// Without it, nearly half of the hedges were sent for runs at the end of the usual range, and
	// the budget was used up before the slow runs.
	delayMargin = 1.15
	// minDelayRuns and targetReserve are multiples of a usual run. If a hedge for a run that exceeds
	// the long duration would miss the latency target, the delay is reduced so that targetReserve is
	// left for a wait and for a second run that is longer than usual, but not below minDelayRuns.
	// The long duration includes runs at servers that were slow for less than a second: proxies
	// seldom have a fresh report from before such a run, and the report after it is usual again. With
	// 15% of the servers 2.5 times slower, all hedges would be too late for a target of three runs.
	minDelayRuns  = 1.3
	targetReserve = 0.3
	// maxWaitShare is the longest expected wait at the server of a hedge, relative to a usual run.
	// Where only servers with a free slot got hedges, 0.8 of the capacity left most slow runs
	// without one.
	maxWaitShare = 0.5
	// maxSlowdown is the factor by which a server may be slower than usual and still get a hedge.
	maxSlowdown = 1.5
)

const (
	// Allowed means that the request may be sent a second time.
	Allowed Verdict = iota
	// NotRepeatable means that the request must not run twice, or not at a further server.
	NotRepeatable
	// NotWarm means that the first attempt is not a warm run of a known duration.
	NotWarm
	// HoldsSlot means that requests of the service go through concurrency limiters. A second run
	// would occupy a slot that the limiter has not granted.
	HoldsSlot
	// MayCrashServers means that the request may have crashed a server.
	MayCrashServers
	// Overloaded means that the servers have queues or that requests are shed.
	Overloaded
	// TooLate means that a second attempt would end after the latency target or the timeout.
	TooLate
	// NoServer means that no server that is warm for the object can take the second attempt.
	NoServer
)

type (
	// Verdict is whether a request may be sent a second time, or why not.
	Verdict uint8

	// Request describes a request with one attempt in flight.
	Request struct {
		// Repeatable is set if the route is idempotent and allows an attempt at a further server.
		Repeatable bool
		// Warm is set if the server of the attempt is warm for the request's object.
		Warm bool
		// HoldsSlot is set if requests of the service need a limiter's slot.
		HoldsSlot bool
		// Suspected is set if the request's fingerprint is suspected of crashing servers or
		// quarantined, or an attempt of the request has lost its connection.
		Suspected bool
		// RoundTrip and ExpectedWait are the round trip to the server of the attempt and the wait
		// there that was expected when the attempt was sent.
		RoundTrip, ExpectedWait time.Duration
		// WorkFactor is the duration of runs that the server of the attempt reports now, as a
		// multiple of the usual.
		WorkFactor float64
		// UntilTarget and UntilTimeout are the remaining times until the request misses its latency
		// target and until it times out.
		UntilTarget, UntilTimeout time.Duration
	}

	// Load describes the load of the servers that may take the second attempt.
	Load struct {
		// Pressure is the pressure of their queues.
		Pressure float64
		Shedding bool
	}

	// Server describes a server that may take the second attempt.
	Server struct {
		// Usable is set if the server may get one more request of this proxy now.
		Usable bool
		// Warm is set if the server is warm for the object, Cold if it has just started.
		Warm, Cold bool
		// Wait is the expected time until a slot of the server is free.
		Wait time.Duration
		// Slowdown is how much longer than usual its runs take, as a factor.
		Slowdown float64
		// RoundTrip is the round trip to the server.
		RoundTrip time.Duration
	}
)

// Delay returns the delay from the start of an attempt after which the request should be sent
// again. It returns zero and the reason if there must be no hedge.
func Delay(r Request, runs *RunTimes) (time.Duration, Verdict) {
	if verdict := r.verdict(); verdict != Allowed {
		return 0, verdict
	}
	long, known := runs.Long()
	if !known {
		return 0, NotWarm
	}
	usual := float64(runs.Usual())
	// The fastest second attempt is one without a wait at the same server, or at one as near.
	latest := min(r.UntilTarget, r.UntilTimeout) - r.RoundTrip - time.Duration(min(1, r.WorkFactor)*usual)
	longRun := delayMargin * float64(long)
	shortest := r.delayOf(min(longRun, minDelayRuns*usual))
	if shortest > latest {
		return 0, TooLate
	}
	return max(shortest, min(r.delayOf(longRun), latest-time.Duration(targetReserve*usual))), Allowed
}

// delayOf returns the time from the start of the attempt until the response of a run that takes the
// given time at the usual speed. A server that reports that it is faster than usual gets the usual
// delay: if the report is wrong, all its runs would be hedged and use up the budget.
func (r Request) delayOf(run float64) time.Duration {
	return r.RoundTrip + r.ExpectedWait + time.Duration(max(1, r.WorkFactor)*run)
}

// Choose returns the index of the server for a second attempt that begins now. servers[0] is the
// server of the first attempt. It gets the second one too if its load and speed are as usual,
// because it is known to be warm and the slowness is a property of the run then. Otherwise the
// attempt goes to the nearest of the others. It returns a negative index and the reason if there
// must be no hedge.
func Choose(r Request, runs *RunTimes, load Load, servers []Server) (int, Verdict) {
	if verdict := r.verdict(); verdict != Allowed {
		return -1, verdict
	}
	if load.Shedding || load.Pressure > MaxPressure {
		return -1, Overloaded
	}
	chosen, verdict := -1, NoServer
	for i, s := range servers {
		switch {
		case !s.takesHedge(runs.Usual()):
		case !r.endsInTime(s.RoundTrip + s.Wait + time.Duration(s.Slowdown*float64(runs.Usual()))):
			verdict = TooLate
		case i == 0:
			return 0, Allowed
		case chosen < 0 || s.RoundTrip+s.Wait < servers[chosen].RoundTrip+servers[chosen].Wait:
			chosen = i
		}
	}
	if chosen >= 0 {
		verdict = Allowed
	}
	return chosen, verdict
}

// verdict checks what does not depend on the server of the second attempt.
func (r Request) verdict() Verdict {
	switch {
	case !r.Repeatable:
		return NotRepeatable
	case !r.Warm:
		return NotWarm
	case r.HoldsSlot:
		return HoldsSlot
	case r.Suspected:
		return MayCrashServers
	}
	return Allowed
}

// endsInTime reports whether an attempt that ends after the given time meets the target.
func (r Request) endsInTime(after time.Duration) bool {
	return after <= r.UntilTarget && after < r.UntilTimeout
}

// takesHedge reports whether the server would run a second attempt soon and without preparing for
// the object.
func (s Server) takesHedge(usualRun time.Duration) bool {
	return s.Usable && s.Warm && !s.Cold && s.Slowdown <= maxSlowdown && float64(s.Wait) <= maxWaitShare*float64(usualRun)
}
