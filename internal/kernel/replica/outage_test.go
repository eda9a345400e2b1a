package replica

import (
	"testing"
	"time"
)

// A waiting watch is cut, as happens at any time, and a server's entry goes
// shortly after. It was not the outage that dropped it: to wait for its return
// would send it requests long after it has left.
func TestSingleFailedCallIsNotAnOutage(t *testing.T) {
	var o Outage
	o.RecordFailure(start)
	if o.RemovalsTentative(start.Add(300 * time.Millisecond)) {
		t.Error("what is missing is doubted 0.3 s after a failed call")
	}
	o.RecordSuccess(start.Add(400 * time.Millisecond))
	if o.RemovalsTentative(start.Add(time.Second)) {
		t.Error("what is missing is doubted though the store answered 0.4 s after a failed call")
	}
}

// The store is away for seconds and entries run out. Until a while after its
// return they may come back.
func TestRemovalsAreTentativeAfterAnOutage(t *testing.T) {
	var o Outage
	if !o.RecordFailure(start) || o.RecordFailure(start.Add(time.Second)) {
		t.Error("the loss is told anew at each failed call, want once")
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
			t.Errorf("%s after the store was lost: doubted is %t, want %t", c.after, got, c.want)
		}
	}
}
