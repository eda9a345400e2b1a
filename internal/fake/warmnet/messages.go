package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// gossipInterval is the interval at which proxies exchange reports and concurrency limits.
	gossipInterval = 500 * time.Millisecond
	// anyRegionOneIn sets how many gossip exchanges go to a proxy of any region: one in this many.
	anyRegionOneIn = 4
)

type (
	// slotMessages holds the state of the messages between proxies that request slots of a service
	// with a concurrency limit and the proxies that own these limits.
	slotMessages struct {
		nextExchange time.Duration
		queued       map[slotRequestKey]*request
	}

	slotRequestKey struct {
		from string
		id   uint64
	}
)

// kernelOf returns the kernel and the region of the proxy with a name.
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

// sendSlotRequest delivers a slot request to the owner of the limit, and its reply to the proxy
// unless the owner queues the request.
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

// sendSlotRelease returns a slot to the owner of the limit and delivers the replies to queued
// requests that get a slot now.
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

// gossip calls exchange for each proxy and one random peer.
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

// exchangeReports has the proxies exchange reports and concurrency limits if the gossip interval
// has passed.
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
