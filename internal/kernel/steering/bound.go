package steering

import (
	"maps"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// boundStep is how far a region's part of bound requests moves at most within
	// boundEvery: objects of other requests move with it, and operators allow a region's
	// callers so much within that time.
	boundStep  = 0.01
	boundEvery = 2 * time.Second
)

type (
	// bound are the parts of all requests that must run in one region each, because their
	// accounts are bound to it. What is not bound must leave them room. They follow from
	// the configuration, so that all proxies come to the same homes.
	bound struct {
		now, target map[string]float64
		moved       time.Time
	}
)

// boundOf estimates each region's part of the requests by the accounts' limits: what an
// account may send is the best that a proxy can know before it has sent it. An account
// without a limit counts as the mean of the others.
func (k *Kernel) boundOf(t *routing.Table) map[string]float64 {
	all, limited := 0.0, 0
	accounts := t.Accounts.All()
	for _, a := range accounts {
		if !a.Limit.Unlimited() {
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
		if !a.Limit.Unlimited() {
			rate = a.Limit.PerSecond
		}
		for _, region := range a.Regions {
			parts[region] += rate / all / float64(len(a.Regions))
		}
	}
	return parts
}

// setBound takes in a configuration. The first one holds at once: nothing lives anywhere
// yet.
func (k *Kernel) setBound(t *routing.Table) {
	k.bound.target = k.boundOf(t)
	if k.bound.now == nil {
		k.bound.now = maps.Clone(k.bound.target)
	}
}

// moveBound brings the parts in force closer to those of the configuration.
func (k *Kernel) moveBound(now time.Time) {
	b := &k.bound
	if now.Sub(b.moved) < boundEvery {
		return
	}
	b.moved = now
	changed := false
	for _, region := range k.regions {
		step := max(-boundStep, min(boundStep, b.target[region]-b.now[region]))
		if step != 0 {
			b.now[region] += step
			changed = true
		}
	}
	if !changed {
		return
	}
	for _, g := range k.services {
		g.forgetHomes()
	}
}
