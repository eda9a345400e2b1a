package steering

import (
	"maps"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// pinnedStep is how far a region's part of bound requests moves at most within
	// pinnedInterval: objects of other requests move with it, and operators allow a region's
	// callers so much within that time.
	pinnedStep     = 0.01
	pinnedInterval = 2 * time.Second
)

type (
	// pinnedShares are the parts of all requests that must run in one region each, because their
	// accounts are bound to it. What is not bound must leave them room. They follow from
	// the configuration, so that all proxies come to the same homes.
	pinnedShares struct {
		current, target map[string]float64
		movedAt         time.Time
	}
)

// pinnedSharesOf estimates each region's part of the requests by the accounts' limits: what an
// account may send is the best that a proxy can know before it has sent it. An account
// without a limit counts as the mean of the others.
func (k *Kernel) pinnedSharesOf(t *routing.Table) map[string]float64 {
	all, limited := 0.0, 0
	accounts := t.Accounts.All()
	for _, a := range accounts {
		if !a.Limit.None() {
			all += a.Limit.PerSecond
			limited++
		}
	}
	mean := 1.0
	if limited > 0 {
		mean = all / float64(limited)
	}
	all += mean * float64(len(accounts)-limited)
	parts := make(map[string]float64)
	for _, a := range accounts {
		rate := mean
		if !a.Limit.None() {
			rate = a.Limit.PerSecond
		}
		for _, region := range a.Regions {
			parts[region] += rate / all / float64(len(a.Regions))
		}
	}
	return parts
}

// setPinnedTarget takes in a configuration. The first one holds at once: nothing lives anywhere
// yet.
func (k *Kernel) setPinnedTarget(t *routing.Table) {
	k.pinnedShares.target = k.pinnedSharesOf(t)
	if k.pinnedShares.current == nil {
		k.pinnedShares.current = maps.Clone(k.pinnedShares.target)
	}
}

// movePinnedShares brings the parts in force closer to those of the configuration.
func (k *Kernel) movePinnedShares(now time.Time) {
	b := &k.pinnedShares
	if now.Sub(b.movedAt) < pinnedInterval {
		return
	}
	b.movedAt = now
	changed := false
	for _, region := range k.regions {
		step := max(-pinnedStep, min(pinnedStep, b.target[region]-b.current[region]))
		if step != 0 {
			b.current[region] += step
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
