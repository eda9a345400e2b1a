package placing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const testRoundTrip = 70 * time.Millisecond

// localProxy simulates what one proxy counts of a service with an urgent route and an archive: 30
// requests of 86 ms and 14 requests of 430 ms a second in the mean. A region has capacity for 0.4
// of this work.
type localProxy struct {
	shares LocalShares
	budget MoveBudget
	random *rand.Rand
	routes []LocalRoute
	// perSecond holds the request rates of archive and urgent.
	perSecond [2]float64
	roundTrip time.Duration
	changes   int
}

func newLocalProxy(seed uint64) *localProxy {
	return &localProxy{random: rand.New(rand.NewPCG(seed, 1)), perSecond: [2]float64{14, 30}, roundTrip: testRoundTrip, routes: []LocalRoute{
		{Name: "archive", Target: 2 * time.Second, Uniform: 0.4, Capacity: 0.4}, {Name: "urgent", Target: 250 * time.Millisecond, Uniform: 0.4, Capacity: 0.4},
	}}
}

// step counts the requests of 100 ms and moves the shares if an interval begins. It returns how
// many requests, as a share of all, the changes moved.
func (p *localProxy) step(now time.Time) (moved float64) {
	for _, r := range []struct {
		route     string
		perSecond float64
		work      time.Duration
	}{{"archive", p.perSecond[0], 430 * time.Millisecond}, {"urgent", p.perSecond[1], 86 * time.Millisecond}} {
		for left := p.random.ExpFloat64(); left < r.perSecond/10; left += p.random.ExpFloat64() {
			p.shares.Record(now, ServiceRoute{"service", r.route}, r.work)
		}
	}
	before := p.localShares()
	if !p.budget.Begin(now) {
		return 0
	}
	p.changes += len(p.shares.Update(now, "service", p.roundTrip, p.routes, &p.budget))
	after := p.localShares()
	return (math.Abs(after[0]-before[0])*p.perSecond[0] + math.Abs(after[1]-before[1])*p.perSecond[1]) / (p.perSecond[0] + p.perSecond[1])
}

// setCapacity sets the fraction of the work for which the region has servers.
func (p *localProxy) setCapacity(fraction float64) {
	for i := range p.routes {
		p.routes[i].Uniform, p.routes[i].Capacity = fraction, fraction
	}
}

// localShares returns the local shares of archive and urgent.
func (p *localProxy) localShares() [2]float64 {
	var shares [2]float64
	for i, r := range p.routes {
		shares[i] = p.shares.Of(ServiceRoute{"service", r.Name}, r.Uniform)
	}
	return shares
}

// Where a region was short of capacity, 0.6 of the objects of each route were placed in other
// regions. For urgent requests the round trip is a third of the target, for reads of the archive it
// is hardly noticeable. The local capacity must go to the urgent route first, in small steps, and
// nothing may move while the demand is steady. Proxies count different requests and must still
// agree.
func TestUrgentRoutesGetLocalCapacityFirst(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	proxies := make([]*localProxy, 20)
	for i := range proxies {
		proxies[i] = newLocalProxy(uint64(i))
	}
	for i, p := range proxies {
		if got := p.localShares(); got != [2]float64{0.4, 0.4} {
			t.Fatalf("before anything is known, the local shares are %v, want the uniform ones", got)
		}
		now := start
		for ; now.Before(start.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
			if moved := p.step(now); moved > maxMoved+0.01 {
				t.Errorf("proxy %d moves %.3f of its requests at once, want at most %.2f", i, moved, maxMoved)
			}
			if s := p.localShares(); math.Abs(0.7*s[0]+0.3*s[1]-0.4) > 0.06 {
				t.Errorf("proxy %d places %.2f of the work in the region, want 0.40", i, 0.7*s[0]+0.3*s[1])
			}
		}
		settled := p.changes
		for ; now.Before(start.Add(11 * time.Minute)); now = now.Add(100 * time.Millisecond) {
			p.step(now)
		}
		if got := p.changes - settled; got > 0 {
			t.Errorf("proxy %d changed its shares %d times in ten minutes of steady demand, want none", i, got)
		}
		got, first := p.localShares(), proxies[0].localShares()
		if got[1] < 0.87 || got[0] > 0.26 || math.Abs(got[0]-first[0]) > 0.126 || math.Abs(got[1]-first[1]) > 0.126 {
			t.Errorf("proxy %d: local shares of archive and urgent are %v, want nearly 0.1 and 1 and within an eighth of proxy 0's %v", i, got, first)
		}
	}
}

// The placement must stay as it is where there is nothing to gain: the region has capacity for all
// its callers, the routes have equal targets, only one route has requests, or the round trip is
// short.
func TestLocalSharesStayUniformWithoutNeed(t *testing.T) {
	for name, change := range map[string]func(*localProxy) time.Duration{
		"capacity": func(p *localProxy) time.Duration {
			p.setCapacity(1)
			return testRoundTrip
		},
		"targets": func(p *localProxy) time.Duration { p.routes[0].Target = p.routes[1].Target; return testRoundTrip },
		"alone":   func(p *localProxy) time.Duration { p.routes = p.routes[1:]; return testRoundTrip },
		"near":    func(*localProxy) time.Duration { return 10 * time.Millisecond },
	} {
		p := newLocalProxy(1)
		roundTrip := change(p)
		now := time.Unix(1_000_000, 0)
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			p.step(now.Add(-time.Hour))
			p.budget = MoveBudget{left: maxMoved}
			if got := p.shares.Update(now, "service", roundTrip, p.routes, &p.budget); got != nil {
				t.Errorf("%s: got changes %v, want none", name, got)
				break
			}
		}
	}
}

// A region loses half its servers. The shares of all routes must change at once and leave the sum
// at what the servers can take, and return with the servers.
func TestLocalSharesFollowLostCapacity(t *testing.T) {
	p := newLocalProxy(1)
	now := time.Unix(1_000_000, 0)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		p.step(now)
	}
	before := p.localShares()
	for _, uniform := range []float64{0, 0.2, 0.7, 1, 0.4} {
		p.setCapacity(uniform)
		got := p.localShares()
		if sum := 0.7*got[0] + 0.3*got[1]; math.Abs(sum-uniform) > 0.1*uniform+0.02 {
			t.Errorf("capacity for %.1f: local shares %v are %.2f of the work", uniform, got, sum)
		}
		if uniform == 0.4 && got != before {
			t.Errorf("capacity is back: local shares are %v, want %v", got, before)
		}
	}
}

// A route with a tenth of the work gets what the urgent route leaves. When this remainder was computed
// from rounded shares, proxies that rounded in different directions placed 0 to 0.63 of its objects
// in the region.
func TestProxiesAgreeOnRoutesWithLittleWork(t *testing.T) {
	low, high := [2]float64{1, 1}, [2]float64{}
	for seed := range uint64(20) {
		p := newLocalProxy(seed)
		p.perSecond = [2]float64{1, 43}
		now := time.Unix(1_000_000, 0)
		for range 3000 {
			now = now.Add(100 * time.Millisecond)
			p.step(now)
		}
		for i, share := range p.localShares() {
			low[i], high[i] = min(low[i], share), max(high[i], share)
		}
	}
	for i := range low {
		if high[i]-low[i] > 0.126 {
			t.Errorf("%s: proxies place %.3f to %.3f of the objects in the region, want at most an eighth apart", newLocalProxy(0).routes[i].Name, low[i], high[i])
		}
	}
}

// When measured demand is no longer used, routes of equal urgency must return to the uniform share.
// They stayed at the nearest eighth.
func TestEquallyUrgentRoutesReturnToUniformShare(t *testing.T) {
	p := newLocalProxy(1)
	now := time.Unix(1_000_000, 0)
	run := func(capacity float64) [2]float64 {
		for i := range p.routes {
			p.routes[i].Target, p.routes[i].Uniform, p.routes[i].Capacity = time.Second, 0.44, capacity
		}
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			p.step(now)
		}
		return p.localShares()
	}
	if got := run(0.2); got[0] != 0.25 || got[1] != 0.25 {
		t.Fatalf("with less capacity, the local shares are %v, want a quarter", got)
	}
	if got := run(0.44); got != [2]float64{0.44, 0.44} || p.shares.Has(ServiceRoute{"service", "urgent"}) {
		t.Errorf("afterwards, the local shares are %v, want the uniform 0.44", got)
	}
}

// The measured round trip varies by a few percent around a tenth of the urgent route's target. The
// objects moved back and forth: 326 changes in eight minutes.
func TestVaryingRoundTripMovesNothing(t *testing.T) {
	p := newLocalProxy(1)
	p.routes[1].Target = 10 * testRoundTrip
	now, settled := time.Unix(1_000_000, 0), 0
	for i := range 6000 {
		now = now.Add(100 * time.Millisecond)
		p.roundTrip = testRoundTrip + time.Duration(i/300%2*2-1)*time.Millisecond
		p.step(now)
		if i == 1200 {
			settled = p.changes
		}
	}
	if got := p.changes - settled; got > 0 {
		t.Errorf("%d changes after the first two minutes, want none", got)
	}
}
