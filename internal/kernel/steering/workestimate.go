package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/hedging"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// defaultWarmShare is the assumed duration of a warm run relative to a cold one before any was
	// measured.
	defaultWarmShare = 0.3
	// warmDownDivisor, warmUpDivisor and maxColdSamples are the smoothing divisors of the
	// estimates: each sample moves an estimate by its difference divided by one of them.
	warmDownDivisor = 4
	warmUpDivisor   = 64
	maxColdSamples  = 16
)

type (
	// workEstimate estimates how long requests of a route take at the servers of a service,
	// separately for warm and cold runs. Each route has its own, because a service may serve routes
	// whose durations differ by a factor of a thousand. With one estimate for a service, the first
	// request determined it: after one of 1 ms, runs of 880 ms were expected to take 1.4 ms,
	// servers were considered twenty times too slow, and objects ran cold on one server after the
	// other.
	workEstimate struct {
		warm, cold time.Duration
		// coldSamples counts the cold runs that the cold estimate is based on, up to
		// maxColdSamples.
		coldSamples int
		// warmRuns are the recent warm runs, from which the delay of hedges is learned.
		warmRuns hedging.RunTimes
	}
)

// workOf returns the estimate for a route at the service.
func (svc *service) workOf(r *routing.Route) *workEstimate {
	w := svc.workByRoute[r.Name]
	if w == nil {
		w = &workEstimate{}
		svc.workByRoute[r.Name] = w
	}
	return w
}

// pruneWork removes the estimates of routes that are no longer in the configuration.
func (svc *service) pruneWork(t *routing.Table) {
	for name := range svc.workByRoute {
		if t.Routes[name] == nil {
			delete(svc.workByRoute, name)
		}
	}
}

// observe records the duration of one response. The warm estimate follows shorter durations quickly
// and longer ones slowly, because a long one may include a wait or come from a server that is no
// longer warm for the object. The cold estimate is the mean of the first cold runs, with the
// route's target as an additional sample, and then a moving average.
func (w *workEstimate) observe(warm bool, sample, target time.Duration) {
	switch {
	case warm && (w.warm == 0 || sample < w.warm):
		w.warm += (sample - w.warm) / warmDownDivisor
		if w.warm < sample {
			w.warm = sample
		}
	case warm:
		w.warm += (sample - w.warm) / warmUpDivisor
	default:
		if w.coldSamples == 0 {
			w.cold = target
		}
		w.coldSamples = min(w.coldSamples+1, maxColdSamples-1)
		w.cold += (sample - w.cold) / time.Duration(w.coldSamples+1)
	}
}

// exceeds reports whether the warm estimate is unknown or longer than a response took. As that
// includes any wait, the estimate is then too long by at least the difference.
func (w *workEstimate) exceeds(sample time.Duration) bool { return w.warm == 0 || sample < w.warm }

// expected returns the estimated duration of a request. It defaults to target if nothing was
// measured.
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

// typical returns the estimated duration of most requests of a route: that of a warm run if servers
// get faster by having handled the object.
func (w *workEstimate) typical(r *routing.Route) time.Duration { return w.expected(r.Sticky, r.Target) }
