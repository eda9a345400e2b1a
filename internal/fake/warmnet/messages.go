package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// gossipInterval is how often proxies tell each other which services they hold back.
	gossipInterval = 500 * time.Millisecond
	// anyRegionOneIn is how many exchanges go to any region: one in so many.
	anyRegionOneIn = 4
)

type (
	// slotMessages carries the messages between proxies that ask for places at servers and
	// those that own the gates.
	slotMessages struct {
		nextExchange time.Duration
		queued       map[slotRequestKey]*request
	}

	slotRequestKey struct {
		from string
		id   uint64
	}
)

// kernelOf finds a proxy's kernel and region by its name.
func (w *simulation) kernelOf(name string) (*steering.Kernel, string) {
	for _, r := range w.scenario.Regions {
		first := slices.IndexFunc(w.proxyList, func(p steering.Proxy) bool { return p.Region == r.Name })
		i := slices.IndexFunc(w.proxyList, func(p steering.Proxy) bool { return p.Name == name })
		if i >= first && first >= 0 && i < first+len(w.proxies[r.Name]) {
			return w.proxies[r.Name][i-first], r.Name
		}
	}
	return nil, ""
}

// sendSlotRequest brings a question to the gate's owner and its answer back.
func (w *simulation) sendSlotRequest(req *request, slotRequest steering.SlotRequest) {
	owner, region := w.kernelOf(slotRequest.Owner.Name)
	delay := w.roundTrip(req.proxyRegion, region) / 2
	if owner == req.kernel {
		delay = 0
	}
	w.After(delay, func() {
		reply := owner.HandleSlotRequest(w.clock(), slotRequest)
		if reply.Verdict == admission.Queued {
			if w.slotMessages.queued == nil {
				w.slotMessages.queued = make(map[slotRequestKey]*request)
			}
			w.slotMessages.queued[slotRequestKey{slotRequest.From, slotRequest.ID}] = req
			return
		}
		w.After(delay, func() { w.applyDecision(req, req.kernel.HandleSlotReply(w.clock(), req.activeRequest, reply, true)) })
	})
}

// sendSlotRelease brings a place back and tells those that get it.
func (w *simulation) sendSlotRelease(proxyRegion string, r steering.SlotRelease) {
	owner, region := w.kernelOf(r.Owner.Name)
	w.After(w.roundTrip(proxyRegion, region)/2, func() { w.deliverSlotReplies(region, owner.HandleSlotRelease(w.clock(), r)) })
}

func (w *simulation) deliverSlotReplies(region string, replies []steering.SlotReply) {
	for _, reply := range replies {
		key := slotRequestKey{reply.From, reply.ID}
		req := w.slotMessages.queued[key]
		if req == nil {
			continue
		}
		delete(w.slotMessages.queued, key)
		w.After(w.roundTrip(req.proxyRegion, region)/2, func() {
			w.applyDecision(req, req.kernel.HandleSlotReply(w.clock(), req.activeRequest, reply, true))
		})
	}
}

// gossip has each proxy exchange what it knows with another one.
func (w *simulation) gossip(exchange func(k, peer *steering.Kernel)) {
	w.eachProxy(func(k *steering.Kernel) {
		_, region := w.kernelOf(k.Name())
		others := w.proxies[region]
		if w.random.IntN(anyRegionOneIn) == 0 {
			others = w.proxies[w.scenario.Regions[w.random.IntN(len(w.scenario.Regions))].Name]
		}
		exchange(k, others[w.random.IntN(len(others))])
	})
}

// exchangeReports has all proxies tell each other which services they hold back.
func (w *simulation) exchangeReports() {
	if w.Now < w.slotMessages.nextExchange {
		return
	}
	w.slotMessages.nextExchange = w.Now + gossipInterval
	if w.scenario.hasCrashes() {
		w.exchangeQuarantineReports()
	}
	if w.scenario.hasBackpressure() {
		w.exchangeBackpressure()
	}
	var all []steering.ServiceLimit
	w.eachProxy(func(k *steering.Kernel) { all = append(all, k.ConcurrencyLimits(w.clock())...) })
	w.eachProxy(func(k *steering.Kernel) { k.ApplyConcurrencyLimits(w.clock(), all) })
}
