package steering

import (
	"time"
)

// interrupts reports whether it is the shutdown that has ended an attempt or handover with the given
// result. To the adapter that looks like a timeout.
func (k *Kernel) interrupts(now time.Time, req *ActiveRequest, r Result) bool {
	return k.shutdown != nil && r == ResultTimeout && !now.Before(k.shutdown.InterruptAt()) && now.Before(req.timesOutAt)
}
