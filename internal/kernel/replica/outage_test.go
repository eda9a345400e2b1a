package replica

import (
	"testing"
	"time"
)

// A waiting watch is interrupted, as can happen at any time, and shortly after a server's entry
// is removed. The entry wasn't dropped by an outage: waiting for it to return would send the
// server requests long after it has left.
func TestSingleFailedCallIsNotAnOutage(t *testing.T) {
	var o Outage
	o.RecordFailure(start)
	if o.RemovalsTentative(start.Add(300 * time.Millisecond)) {
		t.Error("removals are tentative 0.3 s after a failed call")
	}
	o.RecordSuccess(start.Add(400 * time.Millisecond))
	if o.RemovalsTentative(start.Add(time.Second)) {
		t.Error("removals are tentative although the store responded 0.4 s after a failed call")
	}
}

// The store is unavailable for seconds and entries expire. They may return until some time after
// the outage.
func TestRemovalsAreTentativeAfterAnOutage(t *testing.T) {
	var o Outage
	if !o.RecordFailure(start) || o.RecordFailure(start.Add(time.Second)) {
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
			o.RecordSuccess(start.Add(5 * time.Second))
		}
		if got := o.RemovalsTentative(now); got != c.want {
			t.Errorf("%s after the store became unavailable: tentative is %t, want %t", c.after, got, c.want)
		}
	}
}
