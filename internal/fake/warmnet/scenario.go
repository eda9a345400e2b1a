// Package warmnet simulates steering kernels in virtual time: proxies in several regions, backend
// servers with queues that run requests for recently handled objects faster, and the network delay
// between them. It measures the latency and the errors that callers see. It uses no network and no
// real clock.
package warmnet

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// Scenario describes the fleet, the load and the faults of a simulation.
	Scenario struct {
		Regions []Region `json:"regions"`
		// ProxiesPerRegion is the number of proxies in each region. SlotsPerServer and
		// QueueCapacity are the number of concurrent and of queued requests of each server.
		ProxiesPerRegion int `json:"proxies"`
		SlotsPerServer   int `json:"slots"`
		QueueCapacity    int `json:"queue"`
		// ObjectsPerRegion is the number of objects that the callers of each region request.
		// CacheCapacity is the number of objects for which a server stays warm.
		ObjectsPerRegion int `json:"objects"`
		CacheCapacity    int `json:"remember"`
		// Skew is the exponent of the Zipf distribution of objects: the n-th is requested in
		// proportion to n to the power of -Skew. Zero means that all are requested equally often.
		Skew float64 `json:"skew"`
		// ServiceTime is the mean service time on a server that is cold for the object. WarmFactor
		// is the fraction of it that a warm server needs.
		ServiceTime   operator.Duration `json:"work"`
		WarmFactor    float64           `json:"warm-share"`
		RoundTrip     operator.Duration `json:"round-trip"`
		LatencyTarget operator.Duration `json:"target"`
		Timeout       operator.Duration `json:"timeout"`
		Duration      operator.Duration `json:"span"`
		// Routes are the routes that lead to the servers, each with a service time and a latency
		// target of its own. Without any, there is one route with those of the scenario.
		Routes []Route `json:"routes"`
		// RejectRatio is the fraction of requests that servers reject at random, even with free
		// slots, from RejectFrom to RejectTo.
		RejectRatio float64           `json:"refuse-share"`
		RejectFrom  operator.Duration `json:"refuse-from"`
		RejectTo    operator.Duration `json:"refuse-to"`
		// MaxRetries is the number of times that a rejected caller retries after the delay it was
		// told.
		MaxRetries int `json:"returns"`
		// RateAmplitude is the amplitude of each region's sinusoidal request rate, as a fraction of
		// its mean. RatePeriod is the period. The phases of the regions are evenly spaced.
		RateAmplitude float64           `json:"swing"`
		RatePeriod    operator.Duration `json:"period"`
		// HalfRateUntil is the time until which callers send at half the rate.
		HalfRateUntil operator.Duration `json:"calm"`
		// ServiceTimeFactors are factors on the service time, assigned to the servers in turn.
		// Without any, all servers are equally fast.
		ServiceTimeFactors []float64 `json:"speeds"`
		// ServiceTimeSigma is the standard deviation of the logarithm of the service time. Zero
		// selects a uniform distribution with a small spread.
		ServiceTimeSigma float64 `json:"spread"`
		// SlowFactor multiplies the service time of the first SlowServers servers of each region,
		// or of the first one if that is zero, from SlowFrom to SlowTo.
		SlowFactor  float64           `json:"slow-by"`
		SlowServers int               `json:"slow-servers"`
		SlowFrom    operator.Duration `json:"slow-from"`
		SlowTo      operator.Duration `json:"slow-to"`
		// SlowRuns are runs that take several times as long as usual for reasons of their own.
		SlowRuns *SlowRuns `json:"slow-runs"`
		// SlowTurns makes servers slow in turn, which they report.
		SlowTurns *SlowTurns `json:"slow-turns"`
		// Knee is the fraction of its slots above which a server slows down: requests that start
		// with more running take KneeFactor times as long. Zero disables it.
		Knee       float64 `json:"knee"`
		KneeFactor float64 `json:"knee-times"`
		// NoLoadReports means that servers do not report their load.
		NoLoadReports bool `json:"mute"`
		// NoObjects means that requests name no object.
		NoObjects bool `json:"anonymous"`
		// MaxConnections is the number of connections that a server accepts from all proxies. Zero
		// means unlimited.
		MaxConnections int `json:"connections"`
		// NotSticky means that the route does not promise that servers are faster for objects they
		// have handled. WarmFactor should be 1 then.
		NotSticky bool `json:"plain"`
		// RestrictedShare is the fraction of requests, in multiples of 0.1, whose accounts may be
		// served in the region RestrictedTo only.
		RestrictedShare float64 `json:"bound"`
		RestrictedTo    string  `json:"bound-to"`
		// MechanismsOff lists the mechanisms that are disabled on the proxies.
		MechanismsOff []steering.Mechanism `json:"off"`
		// RemoveAt is the time at which one server of each region is removed. Zero means never.
		RemoveAt operator.Duration `json:"leave"`
		// Rollout replaces servers one after the other.
		Rollout *Rollout `json:"release"`
		// Outage makes servers of a region refuse connections for a period. They come back with
		// empty caches.
		Outage *Episode `json:"away"`
		// Surge raises the request rate of a region's callers for a period.
		Surge *Episode `json:"surge"`
		// ProxyLossRegions lose all their proxies at ProxyLossAt, for good. Their callers use
		// proxies of the other regions from then on.
		ProxyLossRegions []string          `json:"stranded"`
		ProxyLossAt      operator.Duration `json:"strand-at"`
		// ProxyRestarts are the times at which all proxies are killed and start again.
		ProxyRestarts []operator.Duration `json:"proxy-restarts"`
		// CrashingRequests crash servers, RandomCrashes are crashes for other reasons. RestartDelay
		// is the time until a cold server with a new ID replaces a crashed one.
		CrashingRequests *CrashingRequests `json:"deadly"`
		RandomCrashes    *RandomCrashes    `json:"storm"`
		RestartDelay     operator.Duration `json:"back"`
		// RateLimits are the periods in which servers advertise a rate limit.
		RateLimits []RateLimit `json:"limited"`
		// Draining are the periods in which servers advertise in their responses that they are
		// draining; they are removed at the end. Their registrations do not show it, and expire and
		// are renewed once in between.
		Draining []Episode `json:"leaving"`
		// BackoffRequests are the periods in which servers reject all requests and ask for backoff
		// with each rejection.
		BackoffRequests []BackoffRequest `json:"pausing"`
		// ProxyCuts are the periods in which proxies are cut off from all servers.
		ProxyCuts []ProxyCut `json:"cut-off"`
		// DuplicateRatio is the fraction of responses, rejections included, that servers send again
		// where the next response on the connection is expected.
		DuplicateRatio float64 `json:"duplicates"`
		// QuarantineThreshold is the number of crashes after which proxies quarantine a request.
		// Zero selects the default.
		QuarantineThreshold int `json:"ends-to-condemn"`
	}

	// Episode is a period in which the conditions in one region differ, or in all if Region is
	// empty.
	Episode struct {
		Region string `json:"region"`
		// Servers is the number of servers affected, counted from the first.
		Servers int `json:"servers"`
		// RateFactor multiplies the request rate.
		RateFactor float64           `json:"times"`
		From       operator.Duration `json:"from"`
		To         operator.Duration `json:"to"`
	}

	// Rollout replaces the first servers of each region by new ones, which are cold for all
	// objects.
	Rollout struct {
		Servers int               `json:"servers"`
		From    operator.Duration `json:"from"`
		// Interval is the time from one replacement to the next.
		Interval operator.Duration `json:"gap"`
	}

	// Region is a region with its number of servers and the request rate of its callers.
	Region struct {
		Name      string  `json:"name"`
		Servers   int     `json:"servers"`
		PerSecond float64 `json:"requests-per-second"`
	}

	// Result is the outcome of a simulation as callers see it.
	Result struct {
		Sent, WithinTarget, Late, Rejected, Failed int
		// ColdRuns counts the runs on servers that were cold for the object.
		ColdRuns int
		// WithinTargetByRegion is the fraction of each region's requests answered within the
		// target.
		WithinTargetByRegion map[string]float64
		// MaxRegionShift is the largest fraction of a region's requests that moved to another
		// region from one window to the next.
		MaxRegionShift float64
		Crashes        CrashStats
		RateLimits     RateLimitStats
		Draining       DrainStats
		Backoffs       BackoffStats
		Hedges         HedgeStats
		Cuts           CutStats
		Retries        RetryStats
		Duplicates     DuplicateStats
		// Routes holds the counts of each route, by name.
		Routes    map[string]*RouteStats
		Latencies []time.Duration
	}
)

// ReadScenario reads a scenario from a JSON file.
func ReadScenario(path string) (Scenario, error) {
	var l Scenario
	data, err := os.ReadFile(path)
	if err != nil {
		return l, errors.Wrap(err, "read scenario")
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrap(err, path)
	}
	return l, nil
}

// activeIn reports whether the episode applies to a region at a time. It may be called on nil.
func (e *Episode) activeIn(region string, now time.Duration) bool {
	return e != nil && (e.Region == "" || e.Region == region) && now >= e.From.Std() && now < e.To.Std()
}

// affects reports whether the episode applies to a server at a time.
func (e *Episode) affects(s *server, now time.Duration) bool {
	return e.activeIn(s.region, now) && s.index < e.Servers
}

// constantRate reports whether the request rates never change.
func (l Scenario) constantRate() bool {
	return l.RateAmplitude == 0 && l.HalfRateUntil == 0 && l.Surge == nil
}

// ShareWithinTarget returns the fraction of all requests that were answered within the target.
func (o Result) ShareWithinTarget() float64 {
	return float64(o.WithinTarget) / float64(max(1, o.Sent))
}

// WorstRegionShare returns the smallest fraction answered within the target of any region.
func (o Result) WorstRegionShare() float64 {
	worst := 1.0
	for _, share := range o.WithinTargetByRegion {
		worst = min(worst, share)
	}
	return worst
}
