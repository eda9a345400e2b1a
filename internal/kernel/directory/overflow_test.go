package directory

import (
	"slices"
	"testing"
	"time"
)

const (
	// callerTTL is for how long callers keep the response of a lookup.
	callerTTL = 2 * time.Second
)

// region simulates the callers and proxies of two failure domains. Callers choose among the proxies
// that a lookup returned two seconds ago.
type region struct {
	proxies  []Proxy
	controls map[string]*OverflowControl
	lookups  [][][]Proxy
	now      time.Time
	// raised and lowered count the changes of level. wideBytes and allBytes are in Mbit.
	raised, lowered     int
	raisedAfterLowering bool
	wideBytes, allBytes float64
}

func newRegion(proxies ...[]Proxy) *region {
	r := &region{proxies: slices.Concat(proxies...), controls: make(map[string]*OverflowControl), now: time.Unix(1_000_000, 0)}
	for _, p := range r.proxies {
		r.controls[p.Name] = &OverflowControl{}
	}
	return r
}

// run lets the callers of each domain demand the given Mbit/s for a time.
func (r *region) run(duration time.Duration, demand ...float64) {
	for range int(duration / time.Second) {
		d := New(slices.Clone(r.proxies), false)
		var lists [][]Proxy
		for _, domain := range []string{"north-a", "north-b"} {
			lists = append(lists, d.Lookup(Caller{"north", domain}, func(string) bool { return true }))
		}
		r.lookups = append(r.lookups, lists)
		used := r.lookups[max(0, len(r.lookups)-1-int(callerTTL/time.Second))]
		r.now = r.now.Add(time.Second)
		load := make(map[string]float64)
		for i, list := range used {
			for _, p := range list {
				load[p.Name] += demand[i] / float64(len(list))
			}
		}
		for i, p := range d.proxies {
			r.allBytes += load[p.Name]
			if p.LinkMbps == 200 {
				r.wideBytes += load[p.Name]
			}
			r.update(i, min(1, load[p.Name]/float64(p.LinkMbps)), d)
		}
	}
}

func (r *region) update(i int, utilization float64, d *Directory) {
	p := &r.proxies[i]
	o := r.controls[p.Name]
	before := o.Level()
	if !o.Update(r.now, utilization, func(l Level) float64 { return d.Growth(p.Name, l) }) {
		return
	}
	p.Overflow = o.Level()
	if o.Level() < before {
		r.lowered++
		return
	}
	r.raised++
	r.raisedAfterLowering = r.raisedAfterLowering || r.lowered > 0
}

func twoDomains() *region {
	links := []int{200, 200, 10, 10, 10, 10, 10, 10, 10, 10}
	return newRegion(domainOf("north-a", links...), domainOf("north-b", links...))
}

// Nine in ten large responses must use wide links while one is up in the failure domain.
func TestResponsesUseWideLinks(t *testing.T) {
	for _, lost := range []int{0, 1} {
		r := twoDomains()
		r.proxies = r.proxies[lost:]
		r.run(time.Minute, 150, 150)
		if got := r.wideBytes / r.allBytes; got < 0.9 {
			t.Errorf("%d wide links lost: %.2f of the bytes use the others, want at least 0.9", lost, got)
		}
	}
}

// A burst of three times what the preferred links carry would stay on them without overflow, and
// with a level that falls too early the links would be full again every few seconds.
func TestBurstAddsProxiesAndRemovesThem(t *testing.T) {
	r := twoDomains()
	r.run(20*time.Second, 100, 100)
	if r.raised != 0 {
		t.Fatalf("%d levels raised at a quarter of the bandwidth, want 0", r.raised)
	}
	r.run(3*time.Second, 1200, 1200)
	if got, want := len(lookupNames(New(r.proxies, false), northA)), 10; got != want {
		t.Errorf("%d proxies are returned three seconds after the begin of a burst, want %d", got, want)
	}
	r.run(10*time.Second, 1200, 1200)
	r.run(40*time.Second, 100, 100)
	if got, want := len(lookupNames(New(r.proxies, false), northA)), 4; got != want {
		t.Errorf("%d proxies are returned after the burst, want %d", got, want)
	}
	if r.raisedAfterLowering || r.raised != 8 {
		t.Errorf("%d levels raised, again after a lowering %t; want 8, false", r.raised, r.raisedAfterLowering)
	}
}

// Guards against oscillation on steady demand: each change costs a write to the store by each
// preferred proxy, and moves callers.
func TestSteadyDemandDoesNotOscillate(t *testing.T) {
	for demand := 50.0; demand <= 1000; demand += 100 {
		for _, other := range []float64{0, demand / 2, demand} {
			r := twoDomains()
			r.run(5*time.Second, 1200, 1200)
			r.run(45*time.Second, demand, other)
			if r.raisedAfterLowering {
				t.Errorf("demand of %.0f and %.0f Mbit/s: %d levels raised and %d lowered, some raised after lowering", demand, other, r.raised, r.lowered)
			}
		}
	}
}

// Store writes are limited: however the load varies, a level must not change twice within two
// seconds, nor more often on a proxy whose level has no effect.
func TestLevelChangesAreRateLimited(t *testing.T) {
	var o OverflowControl
	now := time.Unix(1_000_000, 0)
	var changedAt []time.Time
	for i := range 400 {
		now = now.Add(100 * time.Millisecond)
		if o.Update(now, float64(i%3)/2, func(Level) float64 { return float64(i / 7 % 3) }) {
			changedAt = append(changedAt, now)
		}
	}
	for i := 1; i < len(changedAt); i++ {
		if got := changedAt[i].Sub(changedAt[i-1]); got < changeInterval {
			t.Errorf("two changes within %s, want at least %s", got, changeInterval)
		}
	}
	if len(changedAt) < 5 {
		t.Errorf("the level changed %d times, too few for this test", len(changedAt))
	}
}
