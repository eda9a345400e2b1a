package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// gossipEvery is how often proxies tell each other which services they hold back.
	gossipEvery = 500 * time.Millisecond
	// farOneIn is how many exchanges go to any region: one in so many.
	farOneIn = 4
)

type (
	// slotMessages carries the messages between proxies that ask for places at servers and
	// those that own the gates.
	slotMessages struct {
		gossip  time.Duration
		waiting map[slotRequestKey]*request
	}

	slotRequestKey struct {
		from string
		id   uint64
	}
)

// kernelOf finds a proxy's kernel and region by its name.
func (w *simulation) kernelOf(name string) (*steering.Kernel, string) {
	for _, r := range w.load.Regions {
		first := slices.IndexFunc(w.listed, func(p steering.Proxy) bool { return p.Region == r.Name })
		i := slices.IndexFunc(w.listed, func(p steering.Proxy) bool { return p.Name == name })
		if i >= first && first >= 0 && i < first+len(w.proxies[r.Name]) {
			return w.proxies[r.Name][i-first], r.Name
		}
	}
	return nil, ""
}

// askFor brings a question to the gate's owner and its answer back.
func (w *simulation) askFor(j *request, a steering.SlotRequest) {
	owner, region := w.kernelOf(a.Owner.Name)
	way := w.roundTrip(j.entry, region) / 2
	if owner == j.kernel {
		way = 0
	}
	w.After(way, func() {
		reply := owner.HandleSlotRequest(w.clock(), a)
		if reply.Verdict == admission.Queued {
			if w.holds.waiting == nil {
				w.holds.waiting = make(map[slotRequestKey]*request)
			}
			w.holds.waiting[slotRequestKey{a.From, a.ID}] = j
			return
		}
		w.After(way, func() { w.follow(j, j.kernel.HandleSlotReply(w.clock(), j.flight, reply, true)) })
	})
}

// release brings a place back and tells those that get it.
func (w *simulation) release(entry string, r steering.SlotRelease) {
	owner, region := w.kernelOf(r.Owner.Name)
	w.After(w.roundTrip(entry, region)/2, func() { w.granted(region, owner.HandleSlotRelease(w.clock(), r)) })
}

func (w *simulation) granted(region string, grants []steering.SlotReply) {
	for _, g := range grants {
		key := slotRequestKey{g.From, g.ID}
		j := w.holds.waiting[key]
		if j == nil {
			continue
		}
		delete(w.holds.waiting, key)
		w.After(w.roundTrip(j.entry, region)/2, func() {
			w.follow(j, j.kernel.HandleSlotReply(w.clock(), j.flight, g, true))
		})
	}
}

// gossip has each proxy exchange what it knows with another one.
func (w *simulation) gossip(exchange func(k, to *steering.Kernel)) {
	w.each(func(k *steering.Kernel) {
		_, region := w.kernelOf(k.Name())
		others := w.proxies[region]
		if w.random.IntN(farOneIn) == 0 {
			others = w.proxies[w.load.Regions[w.random.IntN(len(w.load.Regions))].Name]
		}
		exchange(k, others[w.random.IntN(len(others))])
	})
}

// exchange has all proxies tell each other which services they hold back.
func (w *simulation) exchange() {
	if w.Now < w.holds.gossip {
		return
	}
	w.holds.gossip = w.Now + gossipEvery
	if w.load.hasCrashes() {
		w.tellSuspicions()
	}
	if w.load.hasBackpressure() {
		w.tellSignals()
	}
	var all []steering.ServiceLimit
	w.each(func(k *steering.Kernel) { all = append(all, k.ConcurrencyLimits(w.clock())...) })
	w.each(func(k *steering.Kernel) { k.ApplyConcurrencyLimits(w.clock(), all) })
}
