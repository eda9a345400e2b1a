package warmnet

import (
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// maxRequestsInBackoff is the operators' bound on the requests that a proxy may send to a
	// server during a backoff period.
	maxRequestsInBackoff = 2
	// maxRejectedRatio is the fraction of callers that may be rejected while two thirds of the
	// servers have capacity for all: one in 500.
	maxRejectedRatio = 0.002
	// highLoadFactor multiplies the request rate so that the servers without a limit are five
	// sixths busy. minHighLoadShare is the fraction of requests that must be answered in time then.
	highLoadFactor   = 2.4
	minHighLoadShare = 0.9
)

// Guards against requests to servers during a backoff period that they asked for, and against
// rejections while other servers have capacity.
func TestProxiesHonorRequestedBackoff(t *testing.T) {
	for _, proxies := range []int{3, 12} {
		scenario := readScenario(t, "pausing")
		scenario.ProxiesPerRegion = proxies
		o := Simulate(scenario, steering.DefaultPlacer, 1)
		t.Logf("%d proxies per region: at most %d requests in one of %d backoff periods; %.3f within the target, %d rejected", proxies, o.Backoffs.MaxRequests, o.Backoffs.Count, o.ShareWithinTarget(), o.Rejected)
		if o.Backoffs.Count == 0 || o.Backoffs.MaxRequests > maxRequestsInBackoff {
			t.Errorf("%d proxies per region: %d requests in one of %d backoff periods, want at most %d", proxies, o.Backoffs.MaxRequests, o.Backoffs.Count, maxRequestsInBackoff)
		}
		if rejected := float64(o.Rejected) / float64(o.Sent); rejected > maxRejectedRatio {
			t.Errorf("%d proxies per region: %.3f of the callers are rejected, want at most %.3f", proxies, rejected, maxRejectedRatio)
		}
	}
}

// Guards against new requests to a server that advertises draining, because its registration does
// not show it or has been renewed.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, proxies := range []int{3, 12} {
		scenario := readScenario(t, "leaving")
		scenario.ProxiesPerRegion = proxies
		o := Simulate(scenario, steering.DefaultPlacer, 1)
		t.Logf("%d proxies per region: %d requests after the bound, %d server-proxy pairs informed; %.3f within the target", proxies, o.Draining.LateRequests, o.Draining.InformedPairs, o.ShareWithinTarget())
		if o.Draining.InformedPairs == 0 || o.Draining.LateRequests > 0 {
			t.Errorf("%d proxies per region: %d requests later than %s after one of %d server-proxy pairs was informed, want none", proxies, o.Draining.LateRequests, drainBound, o.Draining.InformedPairs)
		}
	}
}

// Guards against proxies that exceed a server's rate limit together, whether or not each of them
// stays within it.
func TestProxiesTogetherKeepAdvertisedRateLimit(t *testing.T) {
	for _, proxies := range []int{1, 3, 12} {
		scenario := readScenario(t, "limited")
		scenario.ProxiesPerRegion = proxies
		for seed := range uint64(2) {
			o := Simulate(scenario, steering.DefaultPlacer, seed+1)
			t.Logf("%d proxies per region: at most %.2f of the allowed requests; %.2f of the limits used, %.2f of the previous rate from 4 s after the limit; %.3f within the target",
				proxies, o.RateLimits.MaxUtilization, o.RateLimits.MeanUtilization, o.RateLimits.RecoveredRate, o.ShareWithinTarget())
			if o.RateLimits.MaxUtilization > 1 {
				t.Errorf("%d proxies per region: a server got %.2f times the requests allowed in 4 s", proxies, o.RateLimits.MaxUtilization)
			}
		}
	}
}

// Guards against a service under slight overload whose throughput keeps falling: full servers
// reject requests, which run cold elsewhere and fill up the other servers.
func TestFullHomesDoNotSpreadColdRuns(t *testing.T) {
	for _, proxies := range []int{3, 12} {
		scenario := readScenario(t, "limited")
		scenario.ProxiesPerRegion = proxies
		for i := range scenario.Regions {
			scenario.Regions[i].PerSecond *= highLoadFactor
		}
		share, worst, coldRuns := meanOverSeeds(scenario, steering.DefaultPlacer)
		t.Logf("%d proxies per region: %.3f within the target, %.3f of the worst region, %.0f cold runs", proxies, share, worst, coldRuns)
		if share < minHighLoadShare {
			t.Errorf("%d proxies per region: %.3f within the target, want at least %.2f: the servers have capacity for all", proxies, share, minHighLoadShare)
		}
	}
}

// Guards against objects of rate-limited servers that run alternately at home and on any other
// server, in a region whose servers are full.
func TestObjectsOfRateLimitedServersFailOver(t *testing.T) {
	scenario := readScenario(t, "limited")
	scenario.ProxiesPerRegion = 12
	for i := range scenario.Regions {
		scenario.Regions[i].PerSecond *= highLoadFactor
	}
	share, worst, _ := meanOverSeeds(scenario, steering.DefaultPlacer)
	scenario.MechanismsOff = append(scenario.MechanismsOff, steering.MechanismFailover)
	without, worstWithout, _ := meanOverSeeds(scenario, steering.DefaultPlacer)
	t.Logf("%.3f within the target, %.3f of the worst region; without failover %.3f and %.3f", share, worst, without, worstWithout)
	if share <= without || worst <= worstWithout {
		t.Errorf("got %.3f within the target and %.3f of the worst region, want more than the %.3f and %.3f without failover", share, worst, without, worstWithout)
	}
}
