package steering

import (
	"fmt"
	"testing"
	"time"
)

// kernelWithRegionalProxies is a proxy in the north that knows one proxy in each of three
// regions.
func kernelWithRegionalProxies(start time.Time) (*Kernel, []Proxy) {
	list := []Proxy{
		{Name: "proxy-north", Domain: "north-a", Region: "north"},
		{Name: "proxy-south", Domain: "south-a", Region: "south"},
		{Name: "proxy-west", Domain: "west-a", Region: "west"},
	}
	k := threeRegionKernel(start, 200*time.Millisecond)
	k.SetProxies(start, list)
	return k, list
}

// ownRegionShare is the part of the objects asked for in the north that live there. Each
// call asks for objects that were not asked for before: a server that knows one
// keeps it for a while.
func ownRegionShare(k *Kernel, now time.Time) float64 {
	const objects = 96
	first, near := int(k.requestCount), 0
	for n := range objects {
		f, d := k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/a/x", Object: fmt.Sprintf("%x", first+n), Deadline: now.Add(time.Second)})
		if d.Server.Domain == "north-a" {
			near++
		}
		k.EndAttempt(now, f, Attempt{Result: ResultAnswered})
	}
	return float64(near) / objects
}

// tickUntil tells the kernel the time as the daemon does.
func tickUntil(k *Kernel, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		k.Tick(now)
	}
}

// All VMs of two regions are taken away. Their callers ask the proxies of the
// third, which sent everything to its own servers: answers came late, while the
// servers of the two regions idled.
func TestCallersOfRegionsWithoutProxiesCountInTheOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, list := kernelWithRegionalProxies(now)
	tickUntil(k, now, now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	if got := ownRegionShare(k, now); got != 1 {
		t.Fatalf("with proxies everywhere %.2f of the objects live near, want all", got)
	}
	k.SetProxies(now, list[:1])
	tickUntil(k, now, now.Add(regionLostAfter-time.Millisecond))
	if got := ownRegionShare(k, now.Add(regionLostAfter)); got != 1 {
		t.Errorf("just after the others went %.2f of the objects live near, want all: they may be back", got)
	}
	now = now.Add(regionLostAfter)
	tickUntil(k, now, now)
	if got := ownRegionShare(k, now); got < 0.3 || got > 0.45 {
		t.Errorf("without the other regions' proxies %.2f of the objects live near, want a little over a third", got)
	}
	k.SetProxies(now, list)
	tickUntil(k, now, now.Add(regionBackAfter-time.Second))
	if got := ownRegionShare(k, now); got > 0.45 {
		t.Errorf("while callers still keep old look-ups %.2f of the objects live near, want no change yet", got)
	}
	now = now.Add(regionBackAfter)
	tickUntil(k, now, now)
	if got := ownRegionShare(k, now); got != 1 {
		t.Errorf("with proxies everywhere again %.2f of the objects live near, want all", got)
	}
}

// A region's only proxy is told to stop. It still serves, but callers are no
// longer sent there.
func TestRegionWithOnlyLeavingProxiesCountsAsWithout(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, list := kernelWithRegionalProxies(now)
	list[1].Leaving, list[2].Leaving = true, true
	k.SetProxies(now, list)
	tickUntil(k, now, now.Add(regionLostAfter))
	if got := ownRegionShare(k, now.Add(regionLostAfter)); got > 0.45 {
		t.Errorf("%.2f of the objects live near, want a little over a third", got)
	}
}

// The store was away until all entries had run out. The proxies live and write
// them again within two seconds. If each region took itself for the only one
// meanwhile, most objects would move and run cold, and move back again.
func TestProxiesWithExpiredEntriesDoNotCountAsGone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, list := kernelWithRegionalProxies(now)
	k.IgnoreMissingProxiesUntil(now.Add(2200 * time.Millisecond))
	k.SetProxies(now, list[:1])
	tickUntil(k, now, now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	if got := ownRegionShare(k, now); got != 1 {
		t.Errorf("while the others may be back %.2f of the objects live near, want all", got)
	}
	tickUntil(k, now, now.Add(2*time.Second))
	if got := ownRegionShare(k, now.Add(2*time.Second)); got > 0.45 {
		t.Errorf("once the others are surely gone %.2f of the objects live near, want a little over a third", got)
	}
}

// All VMs lose power and start again. Each reads the store before the others have
// written their entries, and must not take itself for the only one.
func TestStartingProxyDoesNotCountTheOthersAsGone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k, list := kernelWithRegionalProxies(now)
	k.config.Joined = now
	k.SetProxies(now, list[:1])
	tickUntil(k, now, now.Add(startupGrace-100*time.Millisecond))
	k.SetProxies(now, list)
	tickUntil(k, now.Add(startupGrace), now.Add(startupGrace+2*regionLostAfter))
	if got := ownRegionShare(k, now.Add(startupGrace)); got != 1 {
		t.Errorf("%.2f of the objects live near, want all", got)
	}
}
