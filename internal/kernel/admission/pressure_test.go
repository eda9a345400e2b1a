package admission

import (
	"testing"
)

// A server's queue is full for one answer and empty for the next ones. That is
// chance, and to refuse callers for it would serve nobody.
func TestShortQueueShedsNothing(t *testing.T) {
	var p QueuePressure
	p.Observe(start, 4, 4)
	for range 3 {
		p.Observe(start, 0, 4)
	}
	if got := p.ShedRatio(start); got != 0 {
		t.Errorf("share refused is %.2f, want 0", got)
	}
}

// Servers stand at the end of their queues. The share refused grows with the
// queue and leaves some, or nobody would notice when the load is gone.
func TestShedRatioGrowsWithQueue(t *testing.T) {
	before := 0.0
	for _, waiting := range []float64{3, 4, 6, 12} {
		var p QueuePressure
		for range 40 {
			p.Observe(start, waiting, 4)
		}
		got := p.ShedRatio(start)
		if got < before || got > maxShedRatio {
			t.Errorf("%.0f waiting where 4 may: share refused is %.2f, want from %.2f to %.2f", waiting, got, before, maxShedRatio)
		}
		before = got
	}
	if before != maxShedRatio {
		t.Errorf("a queue at three times its room: share refused is %.2f, want %.2f", before, maxShedRatio)
	}
}

// No more answers come, so that nothing is known of the queue. Requests must be
// sent again.
func TestPressureDecaysWithoutReports(t *testing.T) {
	var p QueuePressure
	for range 40 {
		p.Observe(start, 12, 4)
	}
	if got := p.ShedRatio(start.Add(pressureTTL / 2)); got != maxShedRatio {
		t.Errorf("share refused after half the span is %.2f, want %.2f", got, maxShedRatio)
	}
	if got := p.ShedRatio(start.Add(2 * pressureTTL)); got != 0 {
		t.Errorf("share refused after two spans without news is %.2f, want 0", got)
	}
}

// A route whose target is over before any work could be done leaves no room to
// reckon with.
func TestZeroCapacityIsIgnored(t *testing.T) {
	var p QueuePressure
	p.Observe(start, 12, 0)
	if got := p.Level(start); got != 0 {
		t.Errorf("level is %.2f, want 0", got)
	}
}
