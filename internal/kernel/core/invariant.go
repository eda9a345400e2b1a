package core

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

// checkInvariants stops the process when its state contradicts itself. Every
// one of these would mean a promise broken silently, so going on is worse
// than a restart: tokens of a stopped process are answered "unknown".
func (k *Kernel) checkInvariants(now time.Time) {
	if k.inFlight < 0 || k.inFlight > k.config.MaxInFlight {
		k.invariantViolated("in-flight count outside its bounds")
	}
	if k.bundle == nil {
		return
	}
	onServers := 0
	planned, failover := k.shiftPaces()
	for _, r := range k.regions {
		if r.mover.Row().Sum() != region.Full {
			k.invariantViolated("row of region " + r.Name + " does not sum to 1000")
		}
		p, f := r.mover.Moved(now, planned, failover)
		if settled := k.shiftCapsSettled(now); settled && (p > planned.Cap || f > failover.Cap) {
			k.invariantViolated("region " + r.Name + " shifted more than its cap")
		}
		for _, s := range r.servers {
			if s.InFlight() < 0 {
				k.invariantViolated("backend server " + s.Name + " has fewer than no requests")
			}
			onServers += s.InFlight()
		}
	}
	if onServers > k.inFlight {
		k.invariantViolated("backend servers hold more requests than the proxy")
	}
}

// shiftCapsSettled reports whether all moves within the intervals were made under
// the bundle in force. A new one may set a cap below what moved before it.
func (k *Kernel) shiftCapsSettled(now time.Time) bool {
	planned, failover := k.shiftPaces()
	return now.Sub(k.capsChangedAt) >= max(planned.Interval, failover.Interval)
}

// invariantViolated stops the process.
func (k *Kernel) invariantViolated(what string) {
	panic("core: invariant broken on " + k.config.Self.Name + ": " + what)
}
