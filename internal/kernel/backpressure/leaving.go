package backpressure

import (
	"time"
)

// hearLeaving takes in whether the server says that it leaves. A start of a server that
// leaves does not come back.
func (w *Word) hearLeaving(now time.Time, leaving bool) {
	if leaving && !w.leaving {
		w.leaving, w.changedAt = true, now
	}
}
