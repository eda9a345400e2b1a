package directory

import (
	"slices"
	"time"
)

const (
	// MaxLevel is the level at which lookups return all proxies of a failure domain.
	MaxLevel Level = 2

	// raiseAbove is the utilization in one measurement above which the level rises. lowerBelow is
	// the utilization that a proxy would have at the lower level, below which the level falls after
	// lowerAfter. Between the two the demand can vary by half without a change of the level.
	raiseAbove = 0.6
	lowerBelow = 0.4
	lowerAfter = 10 * time.Second
	// changeInterval is the shortest time between two changes. Each change writes an entry of the
	// store, and callers keep the response of a lookup for up to two seconds, so that a change has
	// hardly an effect before.
	changeInterval = 2 * time.Second
)

type (
	// Level is how many further proxies lookups return beside the preferred ones: none at 0, as many
	// as there are preferred ones at 1, all of the failure domain at MaxLevel.
	Level int

	// OverflowControl decides the overflow level of one proxy from its utilization. The zero value is
	// ready to use and has level 0.
	OverflowControl struct {
		level     Level
		changedAt time.Time
		// lowSince is since when the utilization has been low enough for the lower level, or zero.
		lowSince time.Time
	}
)

// Level returns the current level.
func (o *OverflowControl) Level() Level { return o.level }

// Update applies the utilization of the last measurement and returns whether the level has changed.
// growth returns Directory.Growth of this proxy. It is called only if the result matters.
func (o *OverflowControl) Update(now time.Time, utilization float64, growth func(Level) float64) bool {
	if o.level == 0 && utilization <= raiseAbove {
		return false
	}
	before, factor := o.level, growth(o.level)
	mayChange := o.changedAt.IsZero() || now.Sub(o.changedAt) >= changeInterval
	isLow := o.level > 0 && utilization*factor < lowerBelow
	if !isLow {
		o.lowSince = time.Time{}
	} else if o.lowSince.IsZero() {
		o.lowSince = now
	}
	switch {
	case !mayChange:
	case factor == 0:
		o.level = 0
	case utilization > raiseAbove:
		o.level = min(o.level+1, MaxLevel)
	case isLow && now.Sub(o.lowSince) >= lowerAfter:
		o.level, o.lowSince = o.level-1, time.Time{}
	}
	if o.level != before {
		o.changedAt = now
	}
	return o.level != before
}

// Growth returns by which factor the load of a proxy would grow if its level were one below the
// given one: the larger of the factors for two cases, in which its callers are in its own failure
// domain only, and in all domains of its region alike. It is zero if lookups would not prefer the
// proxy at level 0; its level has no effect then.
//
// The levels of the other domains count as lowered as well. Proxies with the same load lower their
// levels at about the same time, and each would otherwise expect only a part of the increase and
// raise its level again.
func (d *Directory) Growth(name string, level Level) float64 {
	i := slices.IndexFunc(d.proxies, func(p Proxy) bool { return p.Name == name })
	if i < 0 || d.proxies[i].Leaving {
		return 0
	}
	self := d.proxies[i]
	callers := d.callersOf(self.Region)
	if !slices.ContainsFunc(callers, func(c Caller) bool {
		preferred, _ := d.preferredProxies(c, d.inDomain(c.Domain))
		return containsName(preferred, name)
	}) {
		return 0
	}
	var own, region, ownLowered, regionLowered float64
	for _, c := range callers {
		current, lowered := share(d.currentProxies(c), name), share(d.domainProxies(c, max(0, level-1)), name)
		region, regionLowered = region+current, regionLowered+lowered
		if c.Domain == self.Domain {
			own, ownLowered = current, lowered
		}
	}
	return max(1, ratio(ownLowered, own), ratio(regionLowered, region))
}

// callersOf lists the callers of each failure domain of a region that has proxies.
func (d *Directory) callersOf(region string) []Caller {
	var list []Caller
	for _, p := range d.proxies {
		if c := (Caller{Region: region, Domain: p.Domain}); p.Region == region && !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// share returns the share of the callers that use a proxy if each chooses any of the list.
func share(list []Proxy, name string) float64 {
	if !containsName(list, name) {
		return 0
	}
	return 1 / float64(len(list))
}

func containsName(list []Proxy, name string) bool {
	return slices.ContainsFunc(list, func(p Proxy) bool { return p.Name == name })
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
