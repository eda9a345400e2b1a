package placing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// demandRun lets proxies of one region measure the demand for ten requests of 0.2 s a second and
// proxy, and exchange figures as gossip does: each second, each proxy gets those of one other.
func demandRun(seed uint64, proxies int, from time.Time, seconds int) ([]*RegionDemand, time.Time) {
	random := rand.New(rand.NewPCG(seed, 1))
	list := make([]*RegionDemand, proxies)
	for i := range list {
		list[i] = &RegionDemand{}
	}
	now := from
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		for i, d := range list {
			if random.Float64() < 0.63 {
				// At least one request in 100 ms at ten a second; the second of some is left out.
				d.Record(now, "service", 200*time.Millisecond)
			}
			d.Measure(now, "north", proxies)
			if now.UnixMilli()/100%10 == int64(i%10) {
				d.Apply(now, list[random.IntN(proxies)].Figures(now))
			}
		}
	}
	return list, now
}

// Twelve proxies see different requests and exchange figures at different times. Their figures must
// follow the demand of the region and agree within an eighth, or their homes would differ.
func TestProxiesAgreeOnMeasuredDemand(t *testing.T) {
	const want = 12 * 6.3 * 0.2
	list, now := demandRun(1, 12, time.Unix(1_000_000, 0), 30)
	low, high := math.Inf(1), 0.0
	for i, d := range list {
		figures := d.Figures(now)
		if len(figures) != 1 || figures[0].Region != "north" || figures[0].Age > 2*time.Second {
			t.Fatalf("proxy %d: got figures %+v, want a recent one of the north", i, figures)
		}
		low, high = min(low, figures[0].BusySlots), max(high, figures[0].BusySlots)
	}
	if low < want*0.75 || high > want*1.25 || high/low > 1.25 {
		t.Errorf("figures are %.1f to %.1f busy slots, want %.1f and a quarter apart at most", low, high, want)
	}
	for i, d := range list {
		if got := d.Figures(now.Add(figureTTL)); len(got) != 0 {
			t.Errorf("proxy %d: figures of 5 s ago are still sent on: %+v", i, got)
		}
	}
	if quiet, later := demandRun(1, 1, now, 5); len(quiet[0].Figures(later)) != 0 {
		t.Error("a proxy reports demand 5 s after its start, want none before 6 s")
	}
}

// A region whose figures don't arrive must count as without measurements, at the level of the
// others, and a late or damaged figure must not replace a better one.
func TestRegionsWithoutFiguresAreCounted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	demandOf := func(figures ...DemandFigure) [4]float64 {
		var d RegionDemand
		d.Apply(now, figures)
		regions := []RegionCapacity{{"a", 8, 2, 0}, {"b", 8, 2, 0}, {"c", 8, 1, 0}, {"lost", 8, 0, 0}}
		d.ApplyTo(now, "s", regions)
		var demand [4]float64
		for i, r := range regions {
			demand[i] = math.Round(20*r.Demand) / 20
		}
		return demand
	}
	a, b := DemandFigure{"s", "a", 30, 0}, DemandFigure{"s", "b", 10, time.Second}
	counted := [4]float64{2, 2, 1, 0}
	for name, c := range map[string]struct {
		figures []DemandFigure
		want    [4]float64
	}{
		"none":            {nil, counted},
		"one region":      {[]DemandFigure{a}, counted},
		"two of three":    {[]DemandFigure{a, b}, [4]float64{3, 1, 1, 0}},
		"lost region":     {[]DemandFigure{a, b, {"s", "lost", 50, 0}}, [4]float64{3, 1, 1, 0}},
		"other service":   {[]DemandFigure{a, {"t", "b", 10, 0}}, counted},
		"older":           {[]DemandFigure{a, b, {"s", "b", 90, 3 * time.Second}}, [4]float64{3, 1, 1, 0}},
		"too old":         {[]DemandFigure{a, {"s", "b", 10, 5 * time.Second}}, counted},
		"from the future": {[]DemandFigure{a, {"s", "b", 10, -time.Hour}}, counted},
		"too large":       {[]DemandFigure{{"s", "a", math.MaxFloat64, 0}, {"s", "b", math.MaxFloat64, 0}}, counted},
		"not a number":    {[]DemandFigure{a, {"s", "b", math.NaN(), 0}, {"s", "b", math.Inf(1), 0}, {"s", "b", -1, 0}}, counted},
	} {
		if got := demandOf(c.figures...); got != c.want {
			t.Errorf("%s: demand is %v, want %v", name, got, c.want)
		}
	}
}

// Measured demand is used from 0.7 of the slots in use until less than half are. A single high
// sample must not start it.
func TestMeasuredDemandIsUsedWhereServersAreBusy(t *testing.T) {
	var d RegionDemand
	for i, c := range []struct {
		sample float64
		want   bool
	}{{1, false}, {0.6, false}, {1, true}, {0.6, true}, {0.6, true}, {0.55, true}, {0.2, false}, {0.6, false}} {
		changed := d.ObserveUtilization("s", c.sample)
		if got := d.Measured("s"); got != c.want || changed != (i == 2 || i == 6) {
			t.Errorf("sample %d: measured is %v, changed %v, want %v", i, got, changed, c.want)
		}
	}
	if d.Measured("other") {
		t.Error("measured demand is used for a service without servers")
	}
}
