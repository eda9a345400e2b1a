package admission

import (
	"fmt"
	"testing"
	"time"
)

// observeMany lets a service's servers be full for a while, whose work takes as long as
// times tells for the request that begins as the rank-th.
func observeMany(c *AdaptiveLimit, now *time.Time, responses int, ratio func(rank int) float64) {
	for range responses {
		*now = now.Add(100 * time.Millisecond)
		rank := c.NextLimit(*now)
		if rank > c.Limit() {
			c.RecordProbe(*now)
		}
		c.Observe(*now, rank, ratio(rank))
	}
}

// Servers slow down beyond a part of their slots by a factor. The limit settles where
// most gets done, and goes back to all slots when the servers no longer slow down.
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
			l := NewAdaptiveLimit(c.slots)
			slow := func(rank int) float64 {
				if rank > c.knee {
					return 0.4 * c.times
				}
				return 0.4
			}
			observeMany(l, &now, 1000, slow)
			if got := l.Limit(); got < c.least || got > c.most {
				t.Errorf("%d run at once, want %d to %d", got, c.least, c.most)
			}
			observeMany(l, &now, 20000, func(int) float64 { return 0.4 })
			if got := l.Limit(); got != c.slots {
				t.Errorf("%d run at once after the servers no longer slow down, want all %d", got, c.slots)
			}
			if c.slots > 1 && !l.ConfirmedAtMax() {
				t.Error("the servers are not found sound")
			}
		})
	}
}

// What one proxy has learned from many answers counts for another that has few, and
// not the other way round.
func TestAdoptPrefersMoreSamples(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := NewAdaptiveLimit(4)
	c.Adopt(Limit{Slots: 4, Max: 2, Samples: 3})
	c.Adopt(Limit{Slots: 9, Max: 2, Samples: 300})
	if got := c.Limit(); got != 4 {
		t.Errorf("%d run at once after words with no evidence or of other slots, want 4", got)
	}
	c.Adopt(Limit{Slots: 4, Max: 2, Samples: 100})
	c.Adopt(Limit{Slots: 4, Max: 3, Samples: 50})
	if got := c.Limit(); got != 2 {
		t.Errorf("%d run at once, want the 2 that 100 answers speak for", got)
	}
	observeMany(c, &now, 5, func(int) float64 { return 0.4 })
	if got := c.Learned(); got.Max != 2 || got.Samples != 100 {
		t.Errorf("passes %+v on, want what it was told", got)
	}
}

// Full servers are suspected only if they are slower than others, and if several
// are: objects that servers have forgotten take long whether a server is full or
// not, and one server that is slow by itself is full all the time.
func TestSlowdownDetector(t *testing.T) {
	const work = 100 * time.Millisecond
	for name, c := range map[string]struct {
		full, other time.Duration
		servers     int
		want        bool
	}{
		"slow when full":     {3 * work, work, 5, true},
		"sound":              {work, work, 5, false},
		"objects forgotten":  {3 * work, 3 * work, 5, false},
		"one server is slow": {3 * work, work, 1, false},
	} {
		now := time.Unix(1_000_000, 0)
		var s SlowdownDetector
		for n := range 40 {
			now = now.Add(50 * time.Millisecond)
			s.Observe(now, fmt.Sprint(n%c.servers), true, c.full, work)
			s.Observe(now, fmt.Sprint(n%c.servers), false, c.other, work)
		}
		if got := s.Detected(now); got != c.want {
			t.Errorf("%s: suspected %t, want %t", name, got, c.want)
		}
	}
}
