package replica

import (
	"testing"
	"time"
)

// A waiting watch is interrupted, as can happen at any time, and shortly after a server's entry
// is removed. The entry wasn't dropped by an outage: waiting for it to return would send the
// server requests long after it has left.
func TestSingleFailedCallIsNotAnOutage(t *testing.T) {
	var a Availability
	a.RecordFailure(start, start)
	if a.RemovalsTentative(start.Add(300 * time.Millisecond)) {
		t.Error("removals are tentative 0.3 s after a failed call")
	}
	a.RecordSuccess(start.Add(400 * time.Millisecond))
	if a.RemovalsTentative(start.Add(time.Second)) {
		t.Error("removals are tentative although the store responded 0.4 s after a failed call")
	}
}

// The store is unavailable for seconds and entries expire. They may return until some time after
// the outage.
func TestRemovalsAreTentativeAfterAnOutage(t *testing.T) {
	var a Availability
	if !a.RecordFailure(start, start) || a.RecordFailure(start, start.Add(time.Second)) {
		t.Error("each failed call reports the start of an outage, want only the first")
	}
	for _, c := range []struct {
		after    time.Duration
		answered bool
		want     bool
	}{
		{4 * time.Second, false, true},
		{5 * time.Second, true, true},
		{5*time.Second + tentativeFor - time.Millisecond, true, true},
		{5*time.Second + tentativeFor, true, false},
	} {
		now := start.Add(c.after)
		if c.answered {
			a.RecordSuccess(start.Add(5 * time.Second))
		}
		if got := a.RemovalsTentative(now); got != c.want {
			t.Errorf("%s after the store became unavailable: tentative is %t, want %t", c.after, got, c.want)
		}
	}
}

// Peers had the store while this proxy had not, or had it again earlier.
func TestPeersRefuteOutage(t *testing.T) {
	back := start.Add(5 * time.Second)
	for name, c := range map[string]struct {
		span Span
		want bool
	}{
		"a peer had it all the time":             {Span{Known: true, Began: time.Minute}, false},
		"a peer had it until shortly before":     {Span{Known: true, Began: time.Minute, Ended: minOutage / 2}, false},
		"a peer lost it too":                     {Span{Known: true, Began: time.Minute, Ended: 5 * time.Second}, true},
		"a peer has it again for a moment":       {Span{Known: true, Began: minOutage}, true},
		"a peer has it again for long":           {Span{Known: true, Began: tentativeFor}, false},
		"a peer of an earlier version is silent": {Span{}, true},
	} {
		var a Availability
		a.RecordFailure(start, start)
		a.RecordSuccess(back)
		a.RecordRead(back, back)
		a.Learn(back, c.span)
		if got := a.RemovalsTentative(back); got != c.want {
			t.Errorf("%s: removals are tentative %t, want %t", name, got, c.want)
		}
	}
}

// A proxy that stood still processes messages that waited for it. What they say was true then.
func TestMessagesThatWaitedProveNothing(t *testing.T) {
	var a Availability
	a.Learn(start, Span{Known: true, Began: time.Minute})
	resumed := start.Add(5 * time.Second)
	a.Learn(resumed, Span{Known: true, Began: time.Minute})
	if a.Refutes(resumed, resumed) {
		t.Error("a message that waited for 5 s proves that the store was available until now")
	}
	later := resumed
	for range 6 {
		later = later.Add(minOutage / 5)
		a.RecordActivity(later)
	}
	a.Learn(later, Span{Known: true, Began: time.Minute})
	if !a.Refutes(later, later) {
		t.Error("a new message proves nothing")
	}
}
