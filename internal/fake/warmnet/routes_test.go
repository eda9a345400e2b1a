package warmnet

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// settledAt is the second from which requests count, when the servers are warm.
	settledAt = 8
)

// withLoad sets the request rates so that the routes use the given shares of the capacity of warm
// servers.
func (l Scenario) withLoad(loads ...float64) Scenario {
	slots := 0
	for _, r := range l.Regions {
		slots += r.Servers * l.SlotsPerServer
	}
	l.Routes, l.Regions = slices.Clone(l.Routes), slices.Clone(l.Regions)
	perSecond := 0.0
	for i, r := range l.Routes {
		l.Routes[i].Share = loads[i] * float64(slots) / (r.ServiceTime.Std().Seconds() * l.WarmFactor)
		perSecond += l.Routes[i].Share
	}
	for i := range l.Regions {
		l.Regions[i].PerSecond = perSecond / float64(len(l.Regions))
	}
	return l
}

// sharesWithinTarget returns the mean share within the target of the urgent and of the long route
// over a few seeds.
func sharesWithinTarget(l Scenario) (urgent, long float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		o := Simulate(l, steering.DefaultPlacer, seed+1)
		urgent += o.Routes["urgent"].ShareWithinTarget(settledAt, int(l.Duration.Std()/time.Second)) / seeds
		if r := o.Routes["long"]; r != nil {
			long += r.ShareWithinTarget(settledAt, int(l.Duration.Std()/time.Second)) / seeds
		}
	}
	return urgent, long
}

// Short requests with a tenth of the capacity have servers of their own. Guards against a
// simulation in which a route gets the work or the target of another one: comparisons with the
// urgent route alone would then mean nothing.
func TestUrgentRouteAloneIsInTime(t *testing.T) {
	if urgent, long := sharesWithinTarget(readScenario(t, "priorities").withLoad(0.1, 0)); urgent < 0.99 || long != 0 {
		t.Errorf("%.3f urgent and %.3f long requests within the target, want at least 0.99 and no long ones", urgent, long)
	}
	onlyLong := readScenario(t, "priorities").withLoad(0, 0.3)
	onlyLong.Routes[1].LatencyTarget = operator.Duration(100 * time.Millisecond)
	if o := Simulate(onlyLong, steering.DefaultPlacer, 1); o.WithinTarget > 0 {
		t.Errorf("%d of %d requests that need 430 ms are within a target of 100 ms, want none", o.WithinTarget, o.Sent)
	}
}
