package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// tickInterval is the interval at which the kernels are ticked.
const tickInterval = 100 * time.Millisecond

// pickProxy picks the proxy that receives a request from a region's caller, and returns the region
// of the proxy.
func (w *simulation) pickProxy(region string) (*steering.Kernel, string) {
	if list := w.proxies[region]; len(list) > 0 {
		return list[w.random.IntN(len(list))], region
	}
	n := w.random.IntN(len(w.proxyList))
	region = w.proxyList[n].Region
	first := slices.IndexFunc(w.proxyList, func(p steering.Proxy) bool { return p.Region == region })
	return w.proxies[region][n-first], region
}

// removeProxies removes all proxies of the regions that lose them.
func (w *simulation) removeProxies() {
	for _, region := range w.scenario.ProxyLossRegions {
		delete(w.proxies, region)
	}
	w.proxyList = slices.DeleteFunc(w.proxyList, func(p steering.Proxy) bool { return slices.Contains(w.scenario.ProxyLossRegions, p.Region) })
	w.eachProxy(func(k *steering.Kernel) { k.SetProxies(w.clock(), w.proxyList) })
}

func (w *simulation) tick() {
	w.eachProxy(func(k *steering.Kernel) {
		k.Tick(w.clock())
		if len(w.scenario.ProxyCuts) > 0 {
			w.tickCuts(k)
		}
		if replies := k.TakeSlotReplies(); len(replies) > 0 {
			_, region := w.kernelOf(k.Name())
			w.deliverSlotReplies(region, replies)
		}
	})
	w.exchangeReports()
	if w.Now < w.scenario.Duration.Std() {
		w.After(tickInterval, w.tick)
	}
}

// eachProxy calls a function for each running proxy, in a fixed order.
func (w *simulation) eachProxy(do func(*steering.Kernel)) {
	for _, r := range w.scenario.Regions {
		for _, k := range w.proxies[r.Name] {
			do(k)
		}
	}
}

// inOutage reports whether a server is currently unreachable because of the outage.
func (w *simulation) inOutage(s *server) bool {
	if !w.scenario.Outage.activeIn(s.region, w.Now) {
		return false
	}
	first := slices.IndexFunc(w.servers, func(o *server) bool { return o.region == s.region })
	return slices.Index(w.servers, s) < first+w.scenario.Outage.Servers
}

// removeFirstServers removes the first server of each region.
func (w *simulation) removeFirstServers() {
	for _, r := range w.scenario.Regions {
		w.removeServer(w.byID[serverID(r.Name, 0)])
	}
}

func (w *simulation) removeServer(s *server) {
	s.removed = true
	w.eachProxy(func(k *steering.Kernel) { k.RemoveServer(w.clock(), s.id) })
}

// replaceServers replaces the n-th server of each region and schedules the replacement of the next.
func (w *simulation) replaceServers(n int) {
	if n >= w.scenario.Rollout.Servers {
		return
	}
	for _, r := range w.scenario.Regions {
		old := w.byID[serverID(r.Name, n)]
		if old == nil {
			continue
		}
		w.removeServer(old)
		replacement := &server{id: old.id + "-new", region: r.Name, index: old.index, serviceTimeFactor: old.serviceTimeFactor}
		w.servers = append(w.servers, replacement)
		w.byID[replacement.id] = replacement
		w.eachProxy(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(replacement)) })
	}
	w.After(w.scenario.Rollout.Interval.Std(), func() { w.replaceServers(n + 1) })
}
