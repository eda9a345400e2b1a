package steering

import (
	"time"
)

const (
	// spillMaxPressure is the queue pressure up to which other servers take requests whose home is
	// full.
	spillMaxPressure = 0.25
)

// mustNotSpill reports whether a request must be rejected because its home is full and the other
// servers, where it would run cold, have queues. A cold run takes several times as long as a run at
// the home, so a service that is only slightly overloaded would complete fewer and fewer requests
// until nearly all of its responses are late. Rejected callers return when the home has caught up.
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

// isFull reports whether the server has just rejected a request because its queue was full, and may
// take the next one. This excludes a server that is paused.
func (s *server) isFull(now time.Time) bool { return s.isHealthy(now) && now.Before(s.ejectedUntil) }
