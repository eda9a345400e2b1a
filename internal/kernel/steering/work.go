package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// defaultWarmShare is the assumed part of the work that is left on a server that
	// has handled the object, before it was measured.
	defaultWarmShare = 0.3
	// warmDownDivisor, warmUpDivisor and maxColdSamples are the divisors of one sample's
	// difference in the estimates of the work.
	warmDownDivisor = 4
	warmUpDivisor   = 64
	maxColdSamples  = 16
)

type (
	// workEstimate learns how long a route's requests take at a service's servers: on
	// one that has handled the object lately and on one that has not. Each route has
	// its own, since a service may serve routes whose work differs a thousandfold.
	// One model for a service was set by whichever request came first: after one of
	// a millisecond, runs of 880 ms were reckoned at 1.4, servers were taken for
	// twenty times too slow, and objects ran cold on one server after the other.
	workEstimate struct {
		warm, cold time.Duration
		// coldSamples counts the first runs that cold was learned from, up to maxColdSamples.
		coldSamples int
	}
)

// workOf is the model of a route's work at the service.
func (svc *service) workOf(r *routing.Route) *workEstimate {
	w := svc.workByRoute[r.Name]
	if w == nil {
		w = &workEstimate{}
		svc.workByRoute[r.Name] = w
	}
	return w
}

// pruneWork drops the models of routes that the configuration no longer has.
func (svc *service) pruneWork(t *routing.Table) {
	for name := range svc.workByRoute {
		if t.Routes[name] == nil {
			delete(svc.workByRoute, name)
		}
	}
}

// observe takes in one answer's work. The warm estimate follows shorter times at
// once and longer ones slowly: an answer that took long may have waited or met
// a server that had forgotten the object. The cold one is the mean of the first
// runs, with the route's target as one more of them, and follows them later.
func (w *workEstimate) observe(warm bool, took, target time.Duration) {
	switch {
	case warm && (w.warm == 0 || took < w.warm):
		w.warm += (took - w.warm) / warmDownDivisor
		if w.warm < took {
			w.warm = took
		}
	case warm:
		w.warm += (took - w.warm) / warmUpDivisor
	default:
		if w.coldSamples == 0 {
			w.cold = target
		}
		w.coldSamples = min(w.coldSamples+1, maxColdSamples-1)
		w.cold += (took - w.cold) / time.Duration(w.coldSamples+1)
	}
}

// exceeds reports whether the warm estimate is longer than an answer took, with
// whatever it waited, or is not known: then it is too long by that at least.
func (w *workEstimate) exceeds(took time.Duration) bool { return w.warm == 0 || took < w.warm }

// expected is the time that a request's work takes, from target where nothing
// was measured.
func (w *workEstimate) expected(warm bool, target time.Duration) time.Duration {
	cold := w.cold
	if cold == 0 {
		cold = target
	}
	if !warm {
		return cold
	}
	if w.warm == 0 {
		return time.Duration(defaultWarmShare * float64(cold))
	}
	return min(w.warm, cold)
}

// typical is the time that the work of most requests of a route takes: warm where
// servers are faster for having handled the object.
func (w *workEstimate) typical(r *routing.Route) time.Duration { return w.expected(r.Sticky, r.Target) }
