package warmnet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// connectTimeout is the timeout of a connection to a server, unacknowledgedTimeout the time
	// after which an open connection to an unreachable server is lost, and cutProbeTimeout that of a
	// probe. The proxy daemon uses the same.
	connectTimeout        = 250 * time.Millisecond
	unacknowledgedTimeout = 700 * time.Millisecond
	cutProbeTimeout       = 600 * time.Millisecond
	// cutPublicationDelay is how long it takes until all proxies know that one is cut off.
	cutPublicationDelay = time.Second
)

type (
	// ProxyCut cuts proxies off from all servers for a period. Connections to servers hang.
	ProxyCut struct {
		Region string `json:"region"`
		// Proxies is the number of proxies affected, counted from the first.
		Proxies int               `json:"proxies"`
		From    operator.Duration `json:"from"`
		To      operator.Duration `json:"to"`
		// DetectionTime is how long after From the first requests count for CutStats.
		DetectionTime operator.Duration `json:"detection"`
	}

	// CutStats counts the requests that callers sent while proxies were cut off: those at proxies
	// that were, and those at the others.
	CutStats struct {
		CutOff, Others ServedCounts
	}

	// ServedCounts are the requests that got a response within their deadline, of all.
	ServedCounts struct{ Served, Sent int }
)

// Share returns the fraction that was served.
func (c ServedCounts) Share() float64 { return float64(c.Served) / float64(max(1, c.Sent)) }

// isCutOff reports whether a proxy is cut off from all servers now.
func (w *simulation) isCutOff(k *steering.Kernel) bool {
	return slices.ContainsFunc(w.scenario.ProxyCuts, func(c ProxyCut) bool {
		list := w.proxies[c.Region]
		return w.Now >= c.From.Std() && w.Now < c.To.Std() && slices.Contains(list[:min(c.Proxies, len(list))], k)
	})
}

// failUnreachable ends an attempt at a proxy that is cut off, after the timeout of the connection.
func (w *simulation) failUnreachable(req *request) {
	w.After(connectTimeout, func() {
		w.applyDecision(req, req.kernel.EndAttempt(w.clock(), req.activeRequest, steering.Attempt{Result: steering.ResultUnreachable}))
	})
}

// handOver sends a request to another proxy, which handles it like one of a caller.
func (w *simulation) handOver(req *request, h *steering.Handover) {
	peer, region := w.kernelOf(h.Proxy)
	w.After(w.roundTrip(req.proxyRegion, region)/2, func() {
		received := &request{
			region: req.region, kernel: peer, proxyRegion: region, startedAt: req.startedAt, sentAt: w.Now, route: req.route, object: req.object,
			credential: req.credential, attemptID: req.attemptID, handedOverBy: req, attemptsUsed: h.AttemptsUsed, connectionsLost: h.ConnectionsLost, isCounted: h.IsCounted,
		}
		w.handleAtProxy(received)
	})
}

// returnHandover returns the end of a request at a peer to the proxy that handed it over.
func (w *simulation) returnHandover(received *request, d steering.Decision) {
	req := received.handedOverBy
	result := steering.HandoverResult{Result: steering.ResultResponded, Reason: d.Reason, NotRun: d.NotRun, ServersReached: d.ServersReached}
	if d.ReturnResponse && received.server != nil {
		result.Server = received.server.id
	}
	w.After(w.roundTrip(req.proxyRegion, received.proxyRegion)/2, func() {
		w.applyDecision(req, req.kernel.EndHandover(w.clock(), req.activeRequest, result))
	})
}

// tickCuts lets a proxy probe servers, and all proxies learn whether it is cut off.
func (w *simulation) tickCuts(k *steering.Kernel) {
	if list, due := k.ServersToReach(w.clock()); due {
		w.After(cutProbeTimeout, func() {
			responded := len(list)
			if w.isCutOff(k) {
				responded = 0
			}
			k.RecordReachability(w.clock(), responded, len(list))
		})
	}
	i := slices.IndexFunc(w.proxyList, func(p steering.Proxy) bool { return p.Name == k.Name() })
	if cutOff := k.CutOff(); w.proxyList[i].CutOff != cutOff {
		w.proxyList[i].CutOff = cutOff
		list := slices.Clone(w.proxyList)
		w.After(cutPublicationDelay, func() {
			w.eachProxy(func(k *steering.Kernel) { k.SetProxies(w.clock(), list) })
		})
	}
}

// handoverAddress is the address at which the i-th proxy takes requests from others. The simulation
// only needs it to be valid.
func handoverAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// recordCut counts the end of a request that a caller sent for the first time.
func (w *simulation) recordCut(req *request, served bool) {
	if req.retriesLeft < w.scenario.MaxRetries {
		return
	}
	for _, c := range w.scenario.ProxyCuts {
		if req.sentAt < (c.From+c.DetectionTime).Std() || req.sentAt >= c.To.Std() {
			continue
		}
		counts := &w.result.Cuts.Others
		if list := w.proxies[c.Region]; slices.Contains(list[:min(c.Proxies, len(list))], req.kernel) {
			counts = &w.result.Cuts.CutOff
		}
		counts.Sent++
		if served {
			counts.Served++
		}
	}
}
