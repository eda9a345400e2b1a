package steering

import (
	"maps"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// reservedStep is how far a region's part of bound requests moves at most within
	// reservedInterval: objects of other requests move with it, and operators allow a region's
	// callers so much within that time.
	reservedStep     = 0.01
	reservedInterval = 2 * time.Second
)

type (
	// reservedShares are the parts of all requests that must run in one region each, because their
	// accounts are bound to it. What is not bound must leave them room. They follow from
	// the configuration, so that all proxies come to the same homes.
	reservedShares struct {
		current, target map[string]float64
		movedAt         time.Time
	}
)

// reservedSharesOf estimates each region's part of the requests by the accounts' limits: what an
// account may send is the best that a proxy can know before it has sent it. An account
// without a limit counts as the mean of the others.
func (k *Kernel) reservedSharesOf(t *routing.Table) map[string]float64 {
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

// setReservedTarget takes in a configuration. The first one holds at once: nothing lives anywhere
// yet.
func (k *Kernel) setReservedTarget(t *routing.Table) {
	k.reservedShares.target = k.reservedSharesOf(t)
	if k.reservedShares.current == nil {
		k.reservedShares.current = maps.Clone(k.reservedShares.target)
	}
}

// moveReservedShares brings the parts in force closer to those of the configuration.
func (k *Kernel) moveReservedShares(now time.Time) {
	b := &k.reservedShares
	if now.Sub(b.movedAt) < reservedInterval {
		return
	}
	b.movedAt = now
	changed := false
	for _, region := range k.regions {
		step := max(-reservedStep, min(reservedStep, b.target[region]-b.current[region]))
		if step != 0 {
			b.current[region] += step
			changed = true
		}
	}
	if !changed {
		return
	}
	for _, g := range k.services {
		g.invalidateHomes()
	}
}
