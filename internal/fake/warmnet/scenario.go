// Package warmnet plays loads against steering kernels in virtual time:
// proxies in several regions, backend servers that remember the objects they
// handled lately and do their work faster, queues, and the way between them.
// It measures what callers get. There is no network and no clock.
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
	// Scenario is what is played.
	Scenario struct {
		Regions []Region `json:"regions"`
		// ProxiesPerRegion in each region, Slots and Queue of each server.
		ProxiesPerRegion int `json:"proxies"`
		SlotsPerServer   int `json:"slots"`
		QueueCapacity    int `json:"queue"`
		// ObjectsPerRegion that each region's callers ask for, and how many a server
		// remembers.
		ObjectsPerRegion int `json:"objects"`
		CacheCapacity    int `json:"remember"`
		// Skew is by how much an object is asked for more often than the next ones:
		// the n-th as often as n to the power of -Skew; zero for all alike.
		Skew float64 `json:"skew"`
		// ServiceTime on a server that does not know the object, and the share of it
		// that is left on one that does.
		ServiceTime   operator.Duration `json:"work"`
		WarmFactor    float64           `json:"warm-share"`
		RoundTrip     operator.Duration `json:"round-trip"`
		LatencyTarget operator.Duration `json:"target"`
		Timeout       operator.Duration `json:"timeout"`
		Duration      operator.Duration `json:"span"`
		// RefuseRatio of requests are refused by chance although slots are
		// free, between the two moments.
		RefuseRatio float64           `json:"refuse-share"`
		RefuseFrom  operator.Duration `json:"refuse-from"`
		RefuseTo    operator.Duration `json:"refuse-to"`
		// MaxRetries is how often a refused caller comes back when it was told to.
		MaxRetries int `json:"returns"`
		// RateAmplitude is how far each region's rate moves up and down, as a part of it,
		// once in each Period; the regions follow each other evenly.
		RateAmplitude float64           `json:"swing"`
		RatePeriod    operator.Duration `json:"period"`
		// HalfRateUntil is how long half the rate is asked at first.
		HalfRateUntil operator.Duration `json:"calm"`
		// ServiceTimeFactors are the times that servers take, as parts of Work, dealt out in
		// turn; none for servers that are alike.
		ServiceTimeFactors []float64 `json:"speeds"`
		// ServiceTimeSigma is the standard deviation of the logarithm of the work; zero for
		// work that varies evenly by a little.
		ServiceTimeSigma float64 `json:"spread"`
		// SlowFactor is how many times as long some servers of each region take between
		// the two moments: the first SlowServers, one if that is zero.
		SlowFactor  float64           `json:"slow-by"`
		SlowServers int               `json:"slow-servers"`
		SlowFrom    operator.Duration `json:"slow-from"`
		SlowTo      operator.Duration `json:"slow-to"`
		// Knee is the part of its slots beyond which a server slows down: work that
		// begins with more running takes KneeFactor as long. Zero for no knee.
		Knee       float64 `json:"knee"`
		KneeFactor float64 `json:"knee-times"`
		// NoLoadReports servers don't tell their load.
		NoLoadReports bool `json:"mute"`
		// NoObjects requests name no object.
		NoObjects bool `json:"anonymous"`
		// MaxConnections that a server accepts from all proxies; zero for no bound.
		MaxConnections int `json:"connections"`
		// NotSticky routes promise nothing of servers that know an object; WarmFactor
		// should be 1 then.
		NotSticky bool `json:"plain"`
		// RestrictedShare is the part of all requests whose accounts may be served in the region
		// RestrictedTo only, in tenths.
		RestrictedShare float64 `json:"bound"`
		RestrictedTo    string  `json:"bound-to"`
		// MechanismsOff lists the mechanisms that the proxies do without.
		MechanismsOff []steering.Mechanism `json:"off"`
		// RemoveAt is when one server of each region leaves; zero for never.
		RemoveAt operator.Duration `json:"leave"`
		// Rollout replaces servers one after the other.
		Rollout *Rollout `json:"release"`
		// Outage servers of a region refuse connections for a while and have forgotten
		// all objects when they are back.
		Outage *Episode `json:"away"`
		// Surge is when a region's callers ask more.
		Surge *Episode `json:"surge"`
		// ProxyLossRegions regions lose all their proxies at ProxyLossAt, for good. Their
		// callers ask proxies of the other regions from then on.
		ProxyLossRegions []string          `json:"stranded"`
		ProxyLossAt      operator.Duration `json:"strand-at"`
		// CrashingRequests work ends servers, Storm has them end by themselves; Back is after how
		// long others take their places, cold and with new ids.
		CrashingRequests *CrashingRequests `json:"deadly"`
		RandomCrashes    *RandomCrashes    `json:"storm"`
		RestartDelay     operator.Duration `json:"back"`
		// RateLimits servers name a limit for a while.
		RateLimits []RateLimit `json:"limited"`
		// Draining servers say so in their answers from a moment on, and are gone at
		// another. Their registrations don't tell; they run out in between and are back.
		Draining []Episode `json:"leaving"`
		// BackoffRequests servers refuse all requests for a while and ask for a pause with each
		// refusal.
		BackoffRequests []BackoffRequest `json:"pausing"`
		// QuarantineThreshold is from how many ends on proxies refuse work; zero for as many
		// as they do without being told.
		QuarantineThreshold int `json:"ends-to-condemn"`
	}

	// Episode is a time in which something is otherwise in one region.
	Episode struct {
		Region string `json:"region"`
		// Servers concerned, from the first on.
		Servers int `json:"servers"`
		// RateFactor is by how much more is asked.
		RateFactor float64           `json:"times"`
		From       operator.Duration `json:"from"`
		To         operator.Duration `json:"to"`
	}

	// Rollout is the replacement of the first servers of each region by new ones, which
	// know no object.
	Rollout struct {
		Servers int               `json:"servers"`
		From    operator.Duration `json:"from"`
		// Interval is the time from one to the next.
		Interval operator.Duration `json:"gap"`
	}

	// Region has callers and servers.
	Region struct {
		Name      string  `json:"name"`
		Servers   int     `json:"servers"`
		PerSecond float64 `json:"requests-per-second"`
	}

	// Result is what callers got.
	Result struct {
		Sent, WithinTarget, Late, Refused, Failed int
		// ColdRuns counts runs on a server that did not know the object.
		ColdRuns int
		// WithinTargetByRegion is the share answered within the target.
		WithinTargetByRegion map[string]float64
		// MaxRegionShift is the largest part of a region's requests that were sent to another
		// region than those of the window before.
		MaxRegionShift float64
		Crashes        CrashStats
		RateLimits     RateLimitStats
		Draining       DrainStats
		Backoffs       BackoffStats
		Latencies      []time.Duration
	}
)

// ReadScenario reads a load from a file.
func ReadScenario(path string) (Scenario, error) {
	var l Scenario
	data, err := os.ReadFile(path)
	if err != nil {
		return l, errors.Wrap(err, "load")
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrap(err, path)
	}
	return l, nil
}

// activeIn reports whether a moment falls into the episode, for a region.
func (e *Episode) activeIn(region string, now time.Duration) bool {
	return e != nil && e.Region == region && now >= e.From.Std() && now < e.To.Std()
}

// affects reports whether a server is one of those concerned now.
func (e *Episode) affects(s *server, now time.Duration) bool {
	return e.activeIn(s.region, now) && s.index < e.Servers
}

// constantRate reports whether the rate stays the same all the time.
func (l Scenario) constantRate() bool {
	return l.RateAmplitude == 0 && l.HalfRateUntil == 0 && l.Surge == nil
}

// ShareWithinTarget is the part of the requests answered within the target.
func (o Result) ShareWithinTarget() float64 {
	return float64(o.WithinTarget) / float64(max(1, o.Sent))
}

// WorstRegionShare is the smallest part of any region.
func (o Result) WorstRegionShare() float64 {
	worst := 1.0
	for _, share := range o.WithinTargetByRegion {
		worst = min(worst, share)
	}
	return worst
}
