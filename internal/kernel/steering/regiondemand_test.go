package steering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// regionProxies is one proxy in each of three regions with equal servers.
type regionProxies struct {
	now     time.Time
	regions []string
	kernels []*Kernel
	// perSecond is the rate of requests of each region's callers, running what the servers report.
	perSecond []int
	running   []int
	// separated is set if the proxies exchange no figures.
	separated bool
	sent      int
}

func newRegionProxies(c Config) *regionProxies {
	r := &regionProxies{now: time.Unix(1_000_000, 0), regions: []string{"north", "south", "west"}, perSecond: []int{20, 20, 20}, running: []int{2, 2, 2}}
	var proxies []Proxy
	c.RegionOf = make(map[string]string)
	for _, region := range r.regions {
		c.RegionOf[region+"-a"] = region
		proxies = append(proxies, Proxy{Name: region, Domain: region + "-a", Region: region})
	}
	for _, p := range proxies {
		c.Name, c.Domain, c.Region = p.Name, p.Domain, p.Region
		k := New(c)
		c.Record, c.Observe = nil, nil
		k.SetProxies(r.now, proxies)
		k.SetTable(stickyTable(400 * time.Millisecond))
		for _, p := range proxies {
			k.RecordRoundTrip(p.Domain, 50*time.Millisecond)
			for i := range 8 {
				k.RegisterServer(r.now, routing.Server{ID: fmt.Sprint(p.Domain, "-", i), Service: "service", Domain: p.Domain, Slots: 4})
			}
		}
		r.kernels = append(r.kernels, k)
	}
	return r
}

// run sends requests for some seconds and returns the largest share of objects of the first region
// whose homes changed the region within two seconds.
func (r *regionProxies) run(t *testing.T, seconds int) (maxMoved float64) {
	previous := homeRegions(r.kernels[0])
	for second := range seconds {
		for i, k := range r.kernels {
			for n := range r.perSecond[i] {
				at := r.now.Add(time.Duration(n) * time.Second / time.Duration(r.perSecond[i]))
				k.Tick(at)
				r.sent++
				req, d := k.BeginRequest(at, Request{ID: "r", Host: "host", Path: "/x", Object: fmt.Sprintf("%x", r.sent%4000)})
				if d.Server == nil {
					t.Fatalf("%s: got %+v, want a server", r.regions[i], d)
				}
				load := r.running[0]
				if req.server.region != r.regions[0] {
					load = r.running[1]
				}
				k.EndAttempt(at.Add(150*time.Millisecond), req, Attempt{Result: ResultResponded, Loaded: true, Running: load})
			}
		}
		r.now = r.now.Add(time.Second)
		for i, k := range r.kernels {
			if !r.separated {
				k.ApplyRegionDemand(r.now, r.kernels[(i+1+second%2)%3].RegionDemand(r.now))
			}
		}
		if second%2 == 1 {
			moved, placed := 0.0, homeRegions(r.kernels[0])
			for n := range placed {
				if placed[n] != previous[n] {
					moved += 1 / float64(len(placed))
				}
			}
			maxMoved, previous = max(maxMoved, moved), placed
		}
	}
	return maxMoved
}

// homeRegions returns the regions of the homes of 480 objects.
func homeRegions(k *Kernel) []string {
	var regions []string
	svc := k.eligibleService("service")
	for n := range 480 {
		req := &ActiveRequest{Request: Request{Object: fmt.Sprintf("%x", n)}, Route: k.table.Routes["route"], Service: "service", allowedRegions: allRegions}
		regions = append(regions, svc.registered[k.homes(req, svc)[0]].region)
	}
	return regions
}

// northShare returns the share of the objects of the north's callers that are placed there.
func (r *regionProxies) northShare() float64 {
	north := 0
	for _, region := range homeRegions(r.kernels[0]) {
		if region == "north" {
			north++
		}
	}
	return float64(north) / 480
}

// The demand of a region rises to 1.55 of its mean while that of another falls to 0.45. All objects
// stayed in the region, whose servers had queues while others were idle. Where servers are busy, the
// objects must follow the measured demand in small steps, and return when the servers are not.
func TestBusyRegionsFollowMeasuredDemand(t *testing.T) {
	var recording bytes.Buffer
	encoder := json.NewEncoder(&recording)
	var changes []bool
	r := newRegionProxies(Config{
		Record: func(c Call) {
			if err := encoder.Encode(c); err != nil {
				t.Fatal(err)
			}
		},
		Observe: func(e Event) {
			if e.Kind == EventRegionDemand {
				changes = append(changes, e.Measured)
			}
		},
	})
	r.run(t, 10)
	r.perSecond = []int{31, 9, 20}
	if r.run(t, 10); r.northShare() != 1 {
		t.Errorf("%.2f of the objects stay in the north although its servers have capacity, want all", r.northShare())
	}
	r.running[0] = 4
	moved := r.run(t, 24)
	// The region may have 1.15 times the mean load, and its callers need 1.55 times.
	if got := r.northShare(); math.Abs(got-1.15/1.55) > 0.1 {
		t.Errorf("%.2f of the objects stay in the busy north, want about 0.74", got)
	}
	if steady := r.run(t, 40); steady > 0 {
		t.Errorf("%.3f of the objects changed their region on steady demand, want none", steady)
	}
	r.running[0], r.perSecond = 1, []int{20, 20, 20}
	moved = max(moved, r.run(t, 30))
	if r.northShare() != 1 {
		t.Errorf("%.2f of the objects are placed in the north after its servers are no longer busy, want all", r.northShare())
	}
	if moved > maxPlacementShift {
		t.Errorf("%.3f of the objects changed their region within two seconds, want at most %.2f", moved, maxPlacementShift)
	}
	if len(changes) != 2 || !changes[0] || changes[1] {
		t.Errorf("events of the use of measured demand are %v, want that it began and ended", changes)
	}
	if result, err := ReplayCalls(&recording, ""); err != nil || result.Decisions < 1000 || result.DifferenceCount > 0 {
		t.Errorf("replay: %d of %d decisions differ, %v, first %+v", result.DifferenceCount, result.Decisions, err, result.Differences)
	}
}

// Without figures of other regions, a proxy can't know whether its callers need more than others.
// The mechanism can be switched off.
func TestDemandIsCountedWithoutFigures(t *testing.T) {
	for name, r := range map[string]*regionProxies{
		"no figures":   newRegionProxies(Config{}),
		"switched off": newRegionProxies(Config{Off: []Mechanism{MechanismRegionDemand}}),
	} {
		r.separated = name == "no figures"
		r.perSecond, r.running[0] = []int{31, 9, 20}, 4
		if r.run(t, 30); r.northShare() != 1 {
			t.Errorf("%s: %.2f of the objects stay in the north, want all", name, r.northShare())
		}
	}
}
