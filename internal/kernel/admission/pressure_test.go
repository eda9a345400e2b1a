package admission

import (
	"testing"
)

// Guards against shedding because of a queue that is full in one report and empty in the next ones.
func TestShortQueueShedsNothing(t *testing.T) {
	var p QueuePressure
	p.Observe(start, 4, 4)
	for range 3 {
		p.Observe(start, 0, 4)
	}
	if got := p.ShedRatio(start); got != 0 {
		t.Errorf("share rejected is %.2f, want 0", got)
	}
}

// With long queues the shed ratio grows with the queue but stays below 1, so that the end of the
// overload is noticed.
func TestShedRatioGrowsWithQueue(t *testing.T) {
	before := 0.0
	for _, waiting := range []float64{3, 4, 6, 12} {
		var p QueuePressure
		for range 40 {
			p.Observe(start, waiting, 4)
		}
		got := p.ShedRatio(start)
		if got < before || got > maxShedRatio {
			t.Errorf("%.0f waiting with a capacity of 4: share rejected is %.2f, want from %.2f to %.2f", waiting, got, before, maxShedRatio)
		}
		before = got
	}
	if before != maxShedRatio {
		t.Errorf("a queue of three times the capacity: share rejected is %.2f, want %.2f", before, maxShedRatio)
	}
}

// Guards against shedding that never ends: without responses nothing is known of the queue, so
// requests must be sent again.
func TestPressureDecaysWithoutReports(t *testing.T) {
	var p QueuePressure
	for range 40 {
		p.Observe(start, 12, 4)
	}
	if got := p.ShedRatio(start.Add(pressureTTL / 2)); got != maxShedRatio {
		t.Errorf("share rejected after half the TTL is %.2f, want %.2f", got, maxShedRatio)
	}
	if got := p.ShedRatio(start.Add(2 * pressureTTL)); got != 0 {
		t.Errorf("share rejected after two TTLs without reports is %.2f, want 0", got)
	}
}

// A route whose target is shorter than any service time has a capacity of zero.
func TestZeroCapacityIsIgnored(t *testing.T) {
	var p QueuePressure
	p.Observe(start, 12, 0)
	if got := p.Level(start); got != 0 {
		t.Errorf("level is %.2f, want 0", got)
	}
}
