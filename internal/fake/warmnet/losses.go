package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// tickEvery is how often kernels are told the time.
const tickEvery = 100 * time.Millisecond

// entry draws the proxy that a region's caller asks.
func (w *simulation) entry(region string) (*steering.Kernel, string) {
	if list := w.proxies[region]; len(list) > 0 {
		return list[w.random.IntN(len(list))], region
	}
	n := w.random.IntN(len(w.listed))
	region = w.listed[n].Region
	first := slices.IndexFunc(w.listed, func(p steering.Proxy) bool { return p.Region == region })
	return w.proxies[region][n-first], region
}

// strand takes the proxies of the stranded regions away.
func (w *simulation) strand() {
	for _, region := range w.load.ProxyLossRegions {
		delete(w.proxies, region)
	}
	w.listed = slices.DeleteFunc(w.listed, func(p steering.Proxy) bool { return slices.Contains(w.load.ProxyLossRegions, p.Region) })
	w.each(func(k *steering.Kernel) { k.SetProxies(w.clock(), w.listed) })
}

func (w *simulation) tick() {
	w.each(func(k *steering.Kernel) {
		k.Tick(w.clock())
		if grants := k.TakeSlotReplies(); len(grants) > 0 {
			_, region := w.kernelOf(k.Name())
			w.granted(region, grants)
		}
	})
	w.exchange()
	if w.Now < w.load.Duration.Std() {
		w.After(tickEvery, w.tick)
	}
}

// each calls do for every live proxy, in order.
func (w *simulation) each(do func(*steering.Kernel)) {
	for _, r := range w.load.Regions {
		for _, k := range w.proxies[r.Name] {
			do(k)
		}
	}
}

// away reports whether a server is down for a while.
func (w *simulation) away(s *server) bool {
	if !w.load.Outage.activeIn(s.region, w.Now) {
		return false
	}
	first := slices.IndexFunc(w.servers, func(o *server) bool { return o.region == s.region })
	return slices.Index(w.servers, s) < first+w.load.Outage.Servers
}

// leave takes the first server of each region away.
func (w *simulation) leave() {
	for _, r := range w.load.Regions {
		w.remove(w.byID[serverID(r.Name, 0)])
	}
}

func (w *simulation) remove(s *server) {
	s.gone = true
	w.each(func(k *steering.Kernel) { k.RemoveServer(w.clock(), s.id) })
}

// replace replaces the n-th server of each region, and then the next.
func (w *simulation) replace(n int) {
	if n >= w.load.Rollout.Servers {
		return
	}
	for _, r := range w.load.Regions {
		old := w.byID[serverID(r.Name, n)]
		if old == nil {
			continue
		}
		w.remove(old)
		s := &server{id: old.id + "-new", region: r.Name, number: old.number, slow: old.slow}
		w.servers = append(w.servers, s)
		w.byID[s.id] = s
		w.each(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(s)) })
	}
	w.After(w.load.Rollout.Interval.Std(), func() { w.replace(n + 1) })
}
