package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

// shutdownAdmits reports whether a request may be sent or handed over now, if its response is expected
// after the given time: there is no shutdown, or it will probably not interrupt the request.
func (k *Kernel) shutdownAdmits(now time.Time, req *ActiveRequest, expected time.Duration) bool {
	return k.shutdown == nil || k.shutdown.Admits(now, shutdown.Request{
		ReceivedAt: req.startedAt, ExpiresAt: req.timesOutAt, Expected: expected, Repeatable: req.Route.Idempotent,
	})
}

// interrupts reports whether it is the shutdown that has ended an attempt or handover with the given
// result. To the adapter that looks like a timeout or like a caller who has disconnected.
func (k *Kernel) interrupts(now time.Time, req *ActiveRequest, r Result) bool {
	return k.shutdown != nil && (r == ResultTimeout || r == ResultCallerGone) && !now.Before(k.shutdown.InterruptAt()) && now.Before(req.timesOutAt)
}
