package steering

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	viewStep     = 50 * time.Millisecond
	viewLeaseTTL = 5 * time.Second
	viewRenewal  = 2 * time.Second
	// viewBackoff bounds the time after which a proxy writes a missing entry again.
	viewBackoff = 3 * time.Second
	// Faults occur in the first viewFaultTime of viewRunTime, viewFaultInterval apart in the mean,
	// and last up to viewFaultLength. In the last viewCalmTime all proxies know each other again.
	viewRunTime       = 55 * time.Second
	viewFaultTime     = 30 * time.Second
	viewFaultInterval = 700 * time.Millisecond
	viewFaultLength   = 12 * time.Second
	viewCalmTime      = 6 * time.Second
)

var (
	viewStart = time.Unix(1_000_000, 0)
)

type (
	// viewFleet simulates proxies that learn of each other from a store and from peers, under faults
	// that make them see different lists.
	viewFleet struct {
		random  *rand.Rand
		now     time.Time
		proxies []*viewProxy
		// entries holds the listed names, lists what it held after each change, by revision.
		entries map[string]bool
		lists   [][]string
		faults  []string
		viewLoad
	}

	// viewLoad is what the proxies serve: each one that runs calls serve in each step.
	viewLoad struct {
		bounds Bounds
		setUp  func(*Kernel)
		serve  func(*viewProxy)
	}

	viewProxy struct {
		Proxy
		kernel *Kernel
		// down is until when the process is dead; storeCut and peersCut are until when the links to
		// the store and to peers are.
		down, storeCut, peersCut time.Time
		revision                 int
		confirmedAt              time.Time
		// leaseEnd is when the lease of the entry ends; the entry is written again at writeAt.
		leaseEnd, renewedAt, writeAt time.Time
		// hasLease is set while this start of the process has a lease, hasList once it has a list.
		hasLease, hasList bool
	}
)

func newViewFleet(seed uint64, size int, load viewLoad) *viewFleet {
	f := &viewFleet{random: rand.New(rand.NewPCG(seed, 3)), now: viewStart, entries: make(map[string]bool), lists: [][]string{nil}, viewLoad: load}
	domains := []string{"north-a", "north-b", "south-a"}
	for i := range size {
		domain := domains[i%len(domains)]
		p := &viewProxy{Proxy: Proxy{Name: fmt.Sprintf("proxy-%d", i), Domain: domain, Region: regionOf[domain]}}
		f.proxies = append(f.proxies, p)
		f.start(p)
	}
	return f
}

// start starts a proxy that knows nothing.
func (f *viewFleet) start(p *viewProxy) {
	p.kernel = New(Config{Name: p.Name, Domain: p.Domain, Region: p.Region, RegionOf: regionOf, Joined: f.now, Bounds: f.bounds})
	f.setUp(p.kernel)
	p.revision, p.confirmedAt, p.renewedAt, p.writeAt = 0, time.Time{}, time.Time{}, f.now
	p.hasLease, p.hasList = false, false
}

func (f *viewFleet) reachesStore(p *viewProxy) bool {
	return f.now.After(p.down) && f.now.After(p.storeCut)
}

func (f *viewFleet) reachesPeers(p *viewProxy) bool {
	return f.now.After(p.down) && f.now.After(p.peersCut)
}

// changed records a new list of entries.
func (f *viewFleet) changed() {
	var names []string
	for name := range f.entries {
		names = append(names, name)
	}
	f.lists = append(f.lists, names)
}

func (f *viewFleet) remove(name string) {
	if f.entries[name] {
		delete(f.entries, name)
		f.changed()
	}
}

// inject injects a random fault.
func (f *viewFleet) inject() {
	p := f.proxies[f.random.IntN(len(f.proxies))]
	until := f.now.Add(time.Duration(f.random.Int64N(int64(viewFaultLength))))
	kinds := map[string]func(){
		"revoke":         func() { f.remove(p.Name) },
		"store-cut":      func() { p.storeCut = until },
		"peers-cut":      func() { p.peersCut = until },
		"isolate":        func() { p.storeCut, p.peersCut = until, until },
		"isolate-revoke": func() { p.storeCut, p.peersCut = until, until; f.remove(p.Name) },
		"kill":           func() { p.down = f.now.Add(time.Duration(f.random.Int64N(int64(time.Second)))) },
		"kill-others": func() {
			for _, other := range f.proxies {
				if other != p {
					other.down = f.now.Add(viewStep)
				}
			}
		},
		"kill-all": func() {
			for _, other := range f.proxies {
				other.down = f.now.Add(viewStep)
			}
		},
	}
	names := []string{"revoke", "store-cut", "peers-cut", "isolate", "isolate-revoke", "kill", "kill-others", "kill-all"}
	name := names[f.random.IntN(len(names))]
	f.faults = append(f.faults, fmt.Sprintf("%s %s %s", f.now.Sub(viewStart), name, p.Name))
	kinds[name]()
}

// step simulates one step of the store and of all proxies.
func (f *viewFleet) step() {
	f.now = f.now.Add(viewStep)
	if f.now.Sub(viewStart) < viewFaultTime && f.random.Int64N(int64(viewFaultInterval)) < int64(viewStep) {
		f.inject()
	}
	for _, p := range f.proxies {
		if f.now.After(p.leaseEnd) {
			f.remove(p.Name)
		}
		if f.now.Before(p.down) {
			continue
		}
		if !p.down.IsZero() {
			p.down = time.Time{}
			f.start(p)
		}
		f.register(p)
		f.synchronize(p)
		p.kernel.Tick(f.now)
		f.serve(p)
	}
}

// register renews the lease of a proxy's entry. A proxy whose lease has ended, or whose list lacks it,
// writes its entry again.
func (f *viewFleet) register(p *viewProxy) {
	if !f.reachesStore(p) {
		return
	}
	expired := !p.hasLease || f.now.After(p.leaseEnd)
	missing := p.hasList && !slices.Contains(f.lists[p.revision], p.Name)
	switch {
	case (expired || missing) && f.now.After(p.writeAt):
		p.writeAt = f.now.Add(time.Duration(f.random.Int64N(int64(viewBackoff))))
		p.leaseEnd, p.renewedAt, p.hasLease = f.now.Add(viewLeaseTTL), f.now, true
		f.entries[p.Name] = true
		f.changed()
		if expired {
			p.kernel.RecordRegistration(f.now)
		}
	case !expired && f.now.Sub(p.renewedAt) >= viewRenewal:
		p.leaseEnd, p.renewedAt = f.now.Add(viewLeaseTTL), f.now
	}
}

// synchronize updates a proxy's list, mostly from a peer.
func (f *viewFleet) synchronize(p *viewProxy) {
	before := p.revision
	if f.reachesStore(p) && f.random.IntN(10) == 0 {
		p.revision, p.confirmedAt = len(f.lists)-1, f.now
	}
	peer := f.proxies[f.random.IntN(len(f.proxies))]
	if f.reachesPeers(p) && f.reachesPeers(peer) && f.random.IntN(5) == 0 && peer.confirmedAt.After(p.confirmedAt) {
		p.revision, p.confirmedAt = peer.revision, peer.confirmedAt
	}
	if !p.hasList || p.revision != before {
		var list []Proxy
		for _, other := range f.proxies {
			if slices.Contains(f.lists[p.revision], other.Name) {
				list = append(list, other.Proxy)
			}
		}
		p.kernel.SetProxies(f.now, list)
		p.hasList = !p.confirmedAt.IsZero()
	}
	p.kernel.ConfirmListing(f.now, p.confirmedAt, slices.Contains(f.lists[p.revision], p.Name))
}
