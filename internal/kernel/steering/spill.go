package steering

import (
	"time"
)

const (
	// spillMaxPressure is the queue, as a part of the room for requests that can still be
	// answered in time, up to which servers take requests whose home is full.
	spillMaxPressure = 0.25
)

// mustNotSpill reports whether a request is refused because its home is full and the
// servers where it would run cold have queues. Run there, it takes several times the work
// that it takes at home, so a service that is hardly overloaded does less and less until
// nearly all its answers come late. Refused callers come back when the home has caught up.
func (k *Kernel) mustNotSpill(now time.Time, svc *service, homes []string, best choice) bool {
	if best.server == nil || best.warm || len(homes) == 0 {
		return false
	}
	home := svc.registered[homes[0]]
	if home == nil || !home.isFull(now) {
		return false
	}
	p := svc.queuePressure[best.server.region]
	return p != nil && p.Level(now) > spillMaxPressure
}

// isFull reports whether the server has just refused a request since its queue was full, and
// may take the next. One that pauses may not.
func (s *server) isFull(now time.Time) bool { return s.isHealthy(now) && now.Before(s.ejectedUntil) }
