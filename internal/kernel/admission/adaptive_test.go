package admission

import (
	"fmt"
	"testing"
	"time"
)

// observeMany simulates responses of full servers whose service time, relative to the target, is
// ratio of the number of requests running at the start.
func observeMany(limit *AdaptiveLimit, now *time.Time, responses int, ratio func(rank int) float64) {
	for range responses {
		*now = now.Add(100 * time.Millisecond)
		rank := limit.NextLimit(*now)
		if rank > limit.Limit() {
			limit.RecordProbe(*now)
		}
		limit.Observe(*now, rank, ratio(rank))
	}
}

// Servers slow down by a factor beyond a part of their slots. The limit settles at the highest
// throughput and returns to all slots once the servers no longer slow down.
func TestAdaptiveLimitMaximizesThroughput(t *testing.T) {
	for _, c := range []struct {
		slots, knee int
		times       float64
		least, most int
	}{
		{3, 2, 3, 2, 2}, {5, 3, 3, 3, 3}, {4, 3, 1.2, 4, 4}, {3, 1, 2, 1, 3}, {8, 8, 1, 8, 8}, {30, 20, 3, 18, 21}, {1, 1, 1, 1, 1},
	} {
		t.Run(fmt.Sprintf("%d of %d slots, %v times", c.knee, c.slots, c.times), func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			limit := NewAdaptiveLimit(c.slots)
			slow := func(rank int) float64 {
				if rank > c.knee {
					return 0.4 * c.times
				}
				return 0.4
			}
			observeMany(limit, &now, 1000, slow)
			if got := limit.Limit(); got < c.least || got > c.most {
				t.Errorf("%d run at once, want %d to %d", got, c.least, c.most)
			}
			observeMany(limit, &now, 20000, func(int) float64 { return 0.4 })
			if got := limit.Limit(); got != c.slots {
				t.Errorf("%d run at once although the servers no longer slow down, want all %d", got, c.slots)
			}
			if c.slots > 1 && !limit.ConfirmedAtMax() {
				t.Error("the maximum is not confirmed")
			}
		})
	}
}

// A proxy with few samples adopts the limit of one with many, but not the other way round.
func TestAdoptPrefersMoreSamples(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limit := NewAdaptiveLimit(4)
	limit.Adopt(Limit{Slots: 4, Max: 2, Samples: 3})
	limit.Adopt(Limit{Slots: 9, Max: 2, Samples: 300})
	if got := limit.Limit(); got != 4 {
		t.Errorf("%d run at once after limits with too few samples or for other slots, want 4", got)
	}
	limit.Adopt(Limit{Slots: 4, Max: 2, Samples: 100})
	limit.Adopt(Limit{Slots: 4, Max: 3, Samples: 50})
	if got := limit.Limit(); got != 2 {
		t.Errorf("%d run at once, want the 2 that 100 samples support", got)
	}
	observeMany(limit, &now, 5, func(int) float64 { return 0.4 })
	if got := limit.Learned(); got.Max != 2 || got.Samples != 100 {
		t.Errorf("got %+v, want the adopted limit", got)
	}
}

// Guards against limiting servers that are slow for other reasons than load: cache misses slow
// responses down whether a server is full or not, and a single slow server is always full.
func TestSlowdownDetector(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	for name, c := range map[string]struct {
		full, other time.Duration
		servers     int
		want        bool
	}{
		"slow when full":     {3 * serviceTime, serviceTime, 5, true},
		"never slow":         {serviceTime, serviceTime, 5, false},
		"cache misses":       {3 * serviceTime, 3 * serviceTime, 5, false},
		"one server is slow": {3 * serviceTime, serviceTime, 1, false},
	} {
		now := time.Unix(1_000_000, 0)
		var detector SlowdownDetector
		for n := range 40 {
			now = now.Add(50 * time.Millisecond)
			detector.Observe(now, fmt.Sprint(n%c.servers), true, c.full, serviceTime)
			detector.Observe(now, fmt.Sprint(n%c.servers), false, c.other, serviceTime)
		}
		if got := detector.Detected(now); got != c.want {
			t.Errorf("%s: detected %t, want %t", name, got, c.want)
		}
	}
}
