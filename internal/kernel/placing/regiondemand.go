package placing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateTimeConstant is the time constant with which one proxy measures demand. Demand rises and
	// falls by half within some ten seconds; with a time constant of 10 s the figures would follow
	// when it is over.
	rateTimeConstant = 3 * time.Second
	// minRateRequests is the decayed count of requests below which a proxy reports no demand.
	minRateRequests = 10
	// minRateTime is the time after its first request from which a proxy reports demand.
	minRateTime = 2 * rateTimeConstant
	// measureInterval is the interval in which a proxy measures demand.
	measureInterval = time.Second
	// maxBusySlots is the highest figure that is accepted from a peer. The sums of larger ones would
	// not be finite, and the weights of the regions undefined.
	maxBusySlots = 1e9
	// figureTTL is the age from which a figure is ignored.
	figureTTL = 5 * time.Second
	// figureWeight is the weight of a new figure. The figures of one region come from all of its
	// proxies, each of which sees a part of the requests.
	figureWeight = 0.5
	// figureStep is the factor between consecutive rounded figures. Without rounding, each proxy
	// would have figures of its own.
	figureStep = 1.05
	// busyUtilization is the utilization of a region's servers above which measured demand is used,
	// calmUtilization that below which it no longer is.
	busyUtilization = 0.7
	calmUtilization = 0.5
	// utilizationWeight is the weight of a new sample in the mean utilization.
	utilizationWeight = 0.5
)

type (
	// DemandFigure is the demand of a region's callers for a service, as measured by one of the
	// region's proxies.
	DemandFigure struct {
		Service string `json:"service"`
		Region  string `json:"region"`
		// BusySlots is the number of slots that warm runs of the requests keep busy.
		BusySlots float64       `json:"busy-slots"`
		Age       time.Duration `json:"age,omitempty"`
	}

	// RegionDemand holds the demand of all regions as far as one proxy knows it. The zero value
	// knows nothing.
	RegionDemand struct {
		measuredAt time.Time
		rates      map[string]*demandRate
		figures    map[serviceRegion]demandFigure
		use        map[string]*demandUse
	}

	serviceRegion struct{ service, region string }

	demandFigure struct {
		busySlots  float64
		measuredAt time.Time
	}

	// demandRate is what this proxy counts for one service.
	demandRate struct {
		startedAt time.Time
		count     workCount
	}

	// demandUse is whether measured demand is used for a service.
	demandUse struct {
		utilization float64
		measured    bool
	}
)

// Record counts a request and the work of a warm run of it.
func (d *RegionDemand) Record(now time.Time, service string, work time.Duration) {
	r := d.rates[service]
	if r == nil {
		if d.rates == nil {
			d.rates = make(map[string]*demandRate)
		}
		r = &demandRate{startedAt: now}
		d.rates[service] = r
	}
	r.count.add(now, work, rateTimeConstant)
}

// Measure updates the figures of this proxy's region. Its callers choose one of the given number of
// proxies at random.
func (d *RegionDemand) Measure(now time.Time, region string, proxies int) {
	if now.Sub(d.measuredAt) < measureInterval {
		return
	}
	d.measuredAt = now
	for service, r := range d.rates {
		count := r.count.decayedOver(now, rateTimeConstant)
		if now.Sub(r.startedAt) < minRateTime || count.requests < minRateRequests {
			continue
		}
		busy := count.seconds / rateTimeConstant.Seconds() * float64(proxies)
		d.merge(now, DemandFigure{Service: service, Region: region, BusySlots: busy})
	}
	for key, f := range d.figures {
		if now.Sub(f.measuredAt) >= figureTTL {
			delete(d.figures, key)
		}
	}
}

// Apply merges the figures of a peer.
func (d *RegionDemand) Apply(now time.Time, list []DemandFigure) {
	for _, f := range list {
		if f.Age >= 0 && f.Age < figureTTL && f.BusySlots >= 0 && f.BusySlots <= maxBusySlots {
			d.merge(now, f)
		}
	}
}

func (d *RegionDemand) merge(now time.Time, f DemandFigure) {
	key, at := serviceRegion{f.Service, f.Region}, now.Add(-f.Age)
	known, found := d.figures[key]
	if found && !at.After(known.measuredAt) {
		return
	}
	if found && at.Sub(known.measuredAt) < figureTTL {
		f.BusySlots = known.busySlots + figureWeight*(f.BusySlots-known.busySlots)
	}
	if d.figures == nil {
		d.figures = make(map[serviceRegion]demandFigure)
	}
	d.figures[key] = demandFigure{busySlots: f.BusySlots, measuredAt: at}
}

// Figures lists the figures for a peer, those of other regions included.
func (d *RegionDemand) Figures(now time.Time) []DemandFigure {
	var list []DemandFigure
	for key, f := range d.figures {
		if age := now.Sub(f.measuredAt); age < figureTTL {
			list = append(list, DemandFigure{Service: key.service, Region: key.region, BusySlots: roundFigure(f.busySlots), Age: age})
		}
	}
	slices.SortFunc(list, func(a, b DemandFigure) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return list
}

// roundFigure rounds a figure to a twentieth of itself.
func roundFigure(x float64) float64 {
	if x <= 0 {
		return 0
	}
	return math.Pow(figureStep, math.Round(math.Log(x)/math.Log(figureStep)))
}

// ObserveUtilization adds a sample of the utilization of a service's servers in this region and
// reports whether that changed if measured demand is used.
func (d *RegionDemand) ObserveUtilization(service string, sample float64) bool {
	u := d.use[service]
	if u == nil {
		if d.use == nil {
			d.use = make(map[string]*demandUse)
		}
		u = &demandUse{}
		d.use[service] = u
	}
	u.utilization += utilizationWeight * (sample - u.utilization)
	before := u.measured
	u.measured = u.utilization > busyUtilization || before && u.utilization >= calmUtilization
	return u.measured != before
}

// Measured reports whether measured demand is used for a service.
func (d *RegionDemand) Measured(service string) bool {
	u := d.use[service]
	return u != nil && u.measured
}

// ApplyTo replaces the demand of the regions by what was measured. Regions without a figure keep
// their demand relative to the others, as do all regions if fewer than two have one.
func (d *RegionDemand) ApplyTo(now time.Time, service string, regions []RegionCapacity) {
	fresh := make([]bool, len(regions))
	measured, counted, known := 0.0, 0.0, 0
	for i, r := range regions {
		f, found := d.figures[serviceRegion{service, r.Region}]
		if fresh[i] = found && now.Sub(f.measuredAt) < figureTTL && r.Demand > 0; fresh[i] {
			measured, counted, known = measured+roundFigure(f.busySlots), counted+r.Demand, known+1
		}
	}
	if known < 2 || measured == 0 {
		return
	}
	for i := range regions {
		if fresh[i] {
			regions[i].Demand = roundFigure(d.figures[serviceRegion{service, regions[i].Region}].busySlots) * counted / measured
		}
	}
}
