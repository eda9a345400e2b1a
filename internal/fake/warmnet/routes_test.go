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

// priorityScenario returns the scenario with long and urgent requests on the same servers.
func priorityScenario(t *testing.T, proxies, slots int, target time.Duration) Scenario {
	l := readScenario(t, "priorities")
	l.ProxiesPerRegion, l.SlotsPerServer = proxies, slots
	l.Routes = slices.Clone(l.Routes)
	l.Routes[0].LatencyTarget = operator.Duration(target)
	return l
}

// Long requests of low priority take 0.5, 1.0 and 1.5 of the capacity, urgent ones a tenth. Guards
// against long requests that fill the queues up to their own target: at 1.5, one urgent response in
// eight (first case) or in fifty (second case) was in time. Proxies see the queues only in the
// responses to their own requests, so nine of them see less of each than three.
//
// At 1.0 the long requests may lose a twentieth against the share that they had before requests
// were shed by priority, 0.713 and 0.827.
func TestLongRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	for _, c := range []struct {
		proxies, slots int
		target         time.Duration
		want           [3]float64
		longBefore     float64
	}{
		{1, 3, 400 * time.Millisecond, [3]float64{0.95, 0.92, 0.88}, 0.713},
		{3, 8, 250 * time.Millisecond, [3]float64{0.95, 0.78, 0.64}, 0.827},
	} {
		scenario := priorityScenario(t, c.proxies, c.slots, c.target)
		alone, _ := sharesWithinTarget(scenario.withLoad(0.1, 0))
		for i, load := range []float64{0.5, 1, 1.5} {
			urgent, long := sharesWithinTarget(scenario.withLoad(0.1, load))
			if urgent < c.want[i]*alone {
				t.Errorf("%d proxies, long requests at %.1f: %.3f urgent responses within the target, want at least %.2f of the %.3f alone", c.proxies, load, urgent, c.want[i], alone)
			}
			if load != 1 {
				continue
			}
			if long < c.longBefore-0.05 {
				t.Errorf("%d proxies: %.3f long responses within the target, want at least %.3f less 0.05", c.proxies, long, c.longBefore)
			}
			off := scenario.withLoad(0.1, load)
			off.MechanismsOff = []steering.Mechanism{steering.MechanismPriorityShedding}
			if urgentOff, _ := sharesWithinTarget(off); urgent < 2*urgentOff {
				t.Errorf("%d proxies: %.3f urgent responses within the target, want twice the %.3f without priority shedding", c.proxies, urgent, urgentOff)
			}
		}
	}
}

// What urgent requests are to get beside long ones: at least 0.95 of what they get alone while the
// servers could do all of the long ones, and 0.9 at one and a half times that. Guards against
// shedding that begins when the queues are long already, at proxies that see each server seldom.
func TestUrgentRequestsGetNearlyWhatTheyGetAlone(t *testing.T) {
	for _, c := range []struct {
		proxies, slots int
		target         time.Duration
	}{{1, 3, 400 * time.Millisecond}, {3, 8, 250 * time.Millisecond}} {
		scenario := priorityScenario(t, c.proxies, c.slots, c.target)
		alone, _ := sharesWithinTarget(scenario.withLoad(0.1, 0))
		for i, want := range []float64{0.95, 0.95, 0.9} {
			load := []float64{0.5, 1, 1.5}[i]
			if urgent, _ := sharesWithinTarget(scenario.withLoad(0.1, load)); urgent < want*alone {
				t.Errorf("%d proxies, long requests at %.1f: %.3f urgent responses within the target, want at least %.2f of the %.3f alone", c.proxies, load, urgent, want, alone)
			}
		}
	}
}

// The load is 1.4 of the capacity for eight seconds and 0.7 before and after. Guards against
// shedding and queues that outlast the overload: two seconds after its end, 0.6 of the responses
// were in time.
func TestOverloadOfSeveralRoutesEndsWithinTwoSeconds(t *testing.T) {
	scenario := priorityScenario(t, 3, 8, 250*time.Millisecond).withLoad(0.07, 0.63)
	scenario.Surge = &Episode{RateFactor: 2, From: operator.Duration(10 * time.Second), To: operator.Duration(18 * time.Second)}
	sent, within := 0, 0
	for seed := range uint64(3) {
		for _, r := range Simulate(scenario, steering.DefaultPlacer, seed+1).Routes {
			for _, second := range r.Seconds[19:21] {
				sent, within = sent+second.Sent, within+second.WithinTarget
			}
		}
	}
	if got := float64(within) / float64(sent); got < 0.95 {
		t.Errorf("%.3f of the requests sent from one to three seconds after the overload are within the target, want at least 0.95", got)
	}
}
