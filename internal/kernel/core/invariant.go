package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

// checkInvariants stops the process if its state is inconsistent. Each of these violations would
// silently break a guarantee, so continuing is worse than a restart: requests with tokens of a
// stopped process get the outcome "unknown".
func (k *Kernel) checkInvariants(now time.Time) {
	if k.inFlight < 0 || k.inFlight > k.config.MaxInFlight {
		k.invariantViolated("in-flight count out of range")
	}
	if k.bundle == nil {
		return
	}
	onServers := 0
	planned, failover := k.shiftPaces()
	for _, r := range k.regions {
		if r.shifter.Row().Sum() != region.FullShare {
			k.invariantViolated("row of region " + r.Name + " does not sum to 1000")
		}
		p, f := r.shifter.RecentShifts(now, planned, failover)
		if settled := k.shiftCapsSettled(now); settled && (p > planned.Cap || f > failover.Cap) {
			k.invariantViolated("region " + r.Name + " shifted more than its cap")
		}
		for _, s := range r.servers {
			if s.InFlight() < 0 {
				k.invariantViolated("backend server " + s.Name + " has a negative number of requests in flight")
			}
			onServers += s.InFlight()
		}
	}
	if onServers > k.inFlight {
		k.invariantViolated("more requests in flight on backend servers than on the proxy")
	}
}

// shiftCapsSettled reports whether all shifts within the current intervals were made under the
// current bundle. A new bundle may set a cap below what has already shifted.
func (k *Kernel) shiftCapsSettled(now time.Time) bool {
	planned, failover := k.shiftPaces()
	return now.Sub(k.capsChangedAt) >= max(planned.Interval, failover.Interval)
}

// invariantViolated panics, which stops the process.
func (k *Kernel) invariantViolated(violation string) {
	panic("core: invariant violated on " + k.config.Self.Name + ": " + violation)
}
