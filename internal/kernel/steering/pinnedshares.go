package steering

import (
	"maps"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// pinnedStep is the largest change of a region's pinned share within pinnedInterval. Objects of
	// other requests move along with it, and the operators permit at most this shift of a region's
	// callers within that time.
	pinnedStep     = 0.01
	pinnedInterval = 2 * time.Second
)

type (
	// pinnedShares are, for each region, the share of all requests that must run there because
	// their accounts are restricted to it. Requests that are not restricted must leave room for
	// them. The shares follow from the configuration alone, so that all proxies compute the same
	// homes.
	pinnedShares struct {
		current, target map[string]float64
		movedAt         time.Time
	}
)

// pinnedSharesOf estimates the pinned share of each region from the rate limits of the accounts,
// which is the best estimate available before an account has sent requests. An account without a
// limit counts as the mean of the others.
func (k *Kernel) pinnedSharesOf(t *routing.Table) map[string]float64 {
	total, limited := 0.0, 0
	accounts := t.Accounts.All()
	for _, a := range accounts {
		if !a.Limit.Unlimited() {
			total += a.Limit.PerSecond
			limited++
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = total / float64(limited)
	}
	total += mean * float64(len(accounts)-limited)
	shares := make(map[string]float64)
	for _, a := range accounts {
		rate := mean
		if !a.Limit.Unlimited() {
			rate = a.Limit.PerSecond
		}
		for _, region := range a.Regions {
			shares[region] += rate / total / float64(len(a.Regions))
		}
	}
	return shares
}

// setPinnedTarget takes the target shares from a configuration. Those of the first configuration
// apply immediately, because no objects have been placed yet.
func (k *Kernel) setPinnedTarget(t *routing.Table) {
	k.pinnedShares.target = k.pinnedSharesOf(t)
	if k.pinnedShares.current == nil {
		k.pinnedShares.current = maps.Clone(k.pinnedShares.target)
	}
}

// movePinnedShares moves the current shares towards the target shares.
func (k *Kernel) movePinnedShares(now time.Time) {
	shares := &k.pinnedShares
	if now.Sub(shares.movedAt) < pinnedInterval {
		return
	}
	shares.movedAt = now
	changed := false
	for _, region := range k.regions {
		step := max(-pinnedStep, min(pinnedStep, shares.target[region]-shares.current[region]))
		if step != 0 {
			shares.current[region] += step
			changed = true
		}
	}
	if !changed {
		return
	}
	for _, svc := range k.services {
		svc.invalidatePlacements()
	}
}
