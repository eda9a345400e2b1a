package steering

import (
	"fmt"
	"testing"
	"time"
)

// kernelWithRegionalProxies returns the kernel of a proxy in the north that knows one proxy in each
// of three regions, and the list of these proxies.
func kernelWithRegionalProxies(start time.Time) (*Kernel, []Proxy) {
	proxies := []Proxy{
		{Name: "proxy-north", Domain: "north-a", Region: "north"},
		{Name: "proxy-south", Domain: "south-a", Region: "south"},
		{Name: "proxy-west", Domain: "west-a", Region: "west"},
	}
	k := threeRegionKernel(start, 200*time.Millisecond)
	k.SetProxies(start, proxies)
	return k, proxies
}

// ownRegionShare returns the share of the objects requested in the north that are sent to servers
// there. Each call requests new objects, because a server that is warm for an object keeps it for a
// while.
func ownRegionShare(k *Kernel, now time.Time) float64 {
	const objects = 96
	first, inOwnRegion := int(k.requestCount), 0
	for n := range objects {
		req, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: fmt.Sprintf("%x", first+n), Deadline: now.Add(time.Second)})
		if d.Server.Domain == "north-a" {
			inOwnRegion++
		}
		k.EndAttempt(now, req, Attempt{Result: ResultResponded})
	}
	return float64(inOwnRegion) / objects
}

// tickUntil ticks the kernel every 100 ms, as the daemon does.
func tickUntil(k *Kernel, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		k.Tick(now)
	}
}

// All VMs of two regions are gone, and their callers use the proxies of the third region. These
// sent all requests to servers of their own region, so responses came late while the servers of the
// two regions were idle.
func TestCallersOfRegionsWithoutProxiesCountInTheOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, proxies := kernelWithRegionalProxies(now)
	tickUntil(k, now, now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	if got := ownRegionShare(k, now); got != 1 {
		t.Fatalf("with proxies in all regions, %.2f of the objects stay in the own region, want all", got)
	}
	k.SetProxies(now, proxies[:1])
	tickUntil(k, now, now.Add(regionLostAfter-time.Millisecond))
	if got := ownRegionShare(k, now.Add(regionLostAfter)); got != 1 {
		t.Errorf("just after the other proxies left, %.2f of the objects stay in the own region, want all: the proxies may be back", got)
	}
	now = now.Add(regionLostAfter)
	tickUntil(k, now, now)
	if got := ownRegionShare(k, now); got < 0.3 || got > 0.45 {
		t.Errorf("without proxies in the other regions, %.2f of the objects stay in the own region, want a little over a third", got)
	}
	k.SetProxies(now, proxies)
	tickUntil(k, now, now.Add(regionBackAfter-time.Second))
	if got := ownRegionShare(k, now); got > 0.45 {
		t.Errorf("while callers still use old lookups, %.2f of the objects stay in the own region, want no change yet", got)
	}
	now = now.Add(regionBackAfter)
	tickUntil(k, now, now)
	if got := ownRegionShare(k, now); got != 1 {
		t.Errorf("with proxies in all regions again, %.2f of the objects stay in the own region, want all", got)
	}
}

// The only proxy of a region is shutting down. It still serves, but lookups no longer return it to
// callers.
func TestRegionWithOnlyLeavingProxiesCountsAsWithout(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, proxies := kernelWithRegionalProxies(now)
	proxies[1].Leaving, proxies[2].Leaving = true, true
	k.SetProxies(now, proxies)
	tickUntil(k, now, now.Add(regionLostAfter))
	if got := ownRegionShare(k, now.Add(regionLostAfter)); got > 0.45 {
		t.Errorf("%.2f of the objects stay in the own region, want a little over a third", got)
	}
}

// The store was unavailable until all entries had expired. The proxies are running and write them
// again within two seconds. If each region counted the callers of all others as its own until then,
// most objects would move, run cold, and move back again.
func TestProxiesWithExpiredEntriesDoNotCountAsGone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, proxies := kernelWithRegionalProxies(now)
	k.IgnoreMissingProxiesUntil(now.Add(2200 * time.Millisecond))
	k.SetProxies(now, proxies[:1])
	tickUntil(k, now, now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	if got := ownRegionShare(k, now); got != 1 {
		t.Errorf("while the other proxies may be back, %.2f of the objects stay in the own region, want all", got)
	}
	tickUntil(k, now, now.Add(2*time.Second))
	if got := ownRegionShare(k, now.Add(2*time.Second)); got > 0.45 {
		t.Errorf("once the other proxies are gone for good, %.2f of the objects stay in the own region, want a little over a third", got)
	}
}

// All VMs lose power and restart. Each proxy reads the store before the others have written their
// entries, and must not count them as gone.
func TestStartingProxyDoesNotCountTheOthersAsGone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, proxies := kernelWithRegionalProxies(now)
	k.config.Joined = now
	k.SetProxies(now, proxies[:1])
	tickUntil(k, now, now.Add(startupGrace-100*time.Millisecond))
	k.SetProxies(now, proxies)
	tickUntil(k, now.Add(startupGrace), now.Add(startupGrace+2*regionLostAfter))
	if got := ownRegionShare(k, now.Add(startupGrace)); got != 1 {
		t.Errorf("%.2f of the objects stay in the own region, want all", got)
	}
}
