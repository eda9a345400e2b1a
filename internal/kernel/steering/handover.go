package steering

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// maxHandovers limits how many proxies one request is handed over to.
	maxHandovers = 2
	// unablePeerBackoff is how long no requests are handed over to a proxy that could not take one.
	unablePeerBackoff = time.Second
	// maxRefusedHandovers is how many requests of a route in a row peers may find no server for before
	// none is handed over for unableRouteBackoff. Peers that are short of servers still serve some.
	maxRefusedHandovers = 32
	unableRouteBackoff  = time.Second
	// silentServerMemory is how long a server that did not respond counts as possibly reachable by
	// peers.
	silentServerMemory = 10 * time.Second
)

type (
	// Handover is the proxy that a request is handed over to, because this proxy has no connection
	// to the servers.
	Handover struct {
		Proxy   string
		Address netip.AddrPort
		// AttemptsUsed is the number of attempts that may have reached a server, ConnectionsLost how
		// many of them lost their connection.
		AttemptsUsed, ConnectionsLost int
		// IsCounted is set if the request counts in this proxy's retry budget.
		IsCounted bool
	}

	// HandoverResult reports how a handover ended.
	HandoverResult struct {
		// Result is ResultResponded if the peer sent a complete response, of a server or its own.
		Result Result
		// Server is the server that responded. It is empty if the response is the peer's own; then
		// Reason and NotRun tell why the peer ended the request.
		Server string `json:"server,omitempty"`
		Reason Reason `json:"reason,omitempty"`
		NotRun bool   `json:"not-run,omitempty"`
		// ClaimsNotRun is set if the status of the response tells callers that the request has not run.
		ClaimsNotRun bool `json:"claims-not-run,omitempty"`
		// ServerFailed is set if the response reports a failure of the server.
		ServerFailed bool `json:"server-failed,omitempty"`
		// ServersReached counts the servers that the peer sent the request to, if the response is the
		// peer's own.
		ServersReached int `json:"servers-reached,omitempty"`
		// ResponseStarted is set if the caller has already received a part of the response.
		ResponseStarted bool `json:"response-started,omitempty"`
		// Signal is the backpressure signal that the server sent.
		Signal backpressure.Signal
		Err    error `json:"-"`
	}

	// activeHandover is the state of a handover in progress.
	activeHandover struct {
		peer   string
		sentAt time.Time
		// attempts is how many attempts the peer may make.
		attempts int
	}
)

// handOver hands a request over to a peer. It reports false if that is not possible.
func (k *Kernel) handOver(now time.Time, req *ActiveRequest) (Decision, bool) {
	if !k.mayHandOver(now, req) {
		return Decision{}, false
	}
	peer, peers := k.handoverPeer(now, req)
	if peers == 0 {
		return Decision{}, false
	}
	if req.Account != nil && req.charged && !req.mayHaveRun() {
		// The peer charges the account.
		k.quotas.limiter.Refund(req.Account.Name)
		req.charged = false
	}
	req.unproven++
	attempts := req.attemptsForPeer(peers > 1 && len(req.triedPeers)+1 < maxHandovers)
	req.handover = &activeHandover{peer: peer.Name, sentAt: now, attempts: attempts}
	req.triedPeers = append(req.triedPeers, peer.Name)
	k.handoversTo[peer.Name]++
	req.addStep(Event{At: now, Kind: EventHandedOver, Server: peer.Name, Domain: peer.Domain, Attempt: (len(req.steps)+1)/2 + 1})
	return Decision{Handover: &Handover{Proxy: peer.Name, Address: peer.Handovers, AttemptsUsed: max(req.reachedServers, req.Route.Attempts-attempts), ConnectionsLost: req.connectionsLost, IsCounted: req.retries.isRequestCounted}}, true
}

// attemptsForPeer returns how many attempts a peer may make. If there is another peer, one is kept for it: when the
// first one ends with the handover, nobody knows how many of its attempts have run.
func (req *ActiveRequest) attemptsForPeer(hasOther bool) int {
	left := req.Route.Attempts - req.reachedServers
	if hasOther {
		left--
	}
	return max(1, left)
}

// unreachableElsewhere records that a server of a failure domain could not be reached, and reports
// whether one of another domain could not be either. Then it is likely that peers reach more servers.
func (req *ActiveRequest) unreachableElsewhere(domain string) bool {
	if req.unreachableDomain == "" {
		req.unreachableDomain = domain
	}
	return req.unreachableDomain != domain
}

// mayHandOver reports whether a request may be handed over. A request that was handed over to this
// proxy is not, so that two proxies without servers do not pass it back and forth.
func (k *Kernel) mayHandOver(now time.Time, req *ActiveRequest) bool {
	switch {
	case !k.isEnabled(MechanismHandover), req.IsHandover, len(req.triedPeers) >= maxHandovers:
		return false
	case req.mayHaveRun() && !req.Route.Idempotent, req.ExpiresAt.Sub(now) < minAttemptTime:
		return false
	case now.Before(k.unableRoutes[req.Route.Name]), !k.shutdownAdmits(now, req, 0):
		return false
	}
	return k.checkQuarantine(now, req) == ReasonNone
}

// handoverPeer chooses the proxy to hand a request over to: the better of two random ones of this
// region or, if there are none, of the others. Proxies that have published that they are cut off come
// last: some servers may respond to them. Bodies may only be sent to the regions allowed for the
// request. It also returns the number of peers that it could choose from.
func (k *Kernel) handoverPeer(now time.Time, req *ActiveRequest) (Proxy, int) {
	var local, remote, cutOff []Proxy
	for _, p := range k.proxies {
		switch {
		case p.Name == k.config.Name, !p.Handovers.IsValid(), p.Leaving, now.Before(k.unablePeers[p.Name]):
		case slices.Contains(req.triedPeers, p.Name), !req.allowedRegions.has(k.regionBit(p.Region)):
		case p.CutOff:
			cutOff = append(cutOff, p)
		case p.Region == k.config.Region:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	count := len(local) + len(remote) + len(cutOff)
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		candidates = cutOff
	}
	if len(candidates) == 0 {
		return Proxy{}, 0
	}
	best := candidates[k.random.IntN(len(candidates))]
	if other := candidates[k.random.IntN(len(candidates))]; k.handoverLoad(other) < k.handoverLoad(best) {
		best = other
	}
	return best, count
}

// handoverLoad is the load that this proxy adds to a peer, relative to the peer's link.
func (k *Kernel) handoverLoad(p Proxy) float64 {
	return float64(k.handoversTo[p.Name]) / float64(max(1, p.LinkMbps))
}

// EndHandover records how a handover ended and returns the next step.
func (k *Kernel) EndHandover(now time.Time, req *ActiveRequest, r HandoverResult) Decision {
	d := k.endHandover(now, req, r)
	if k.config.Record != nil {
		recorded, decision := r, recordedDecisionOf(d)
		k.config.Record(Call{Method: callEndHandover, At: now, RequestNumber: req.seq, Handover: &recorded, Decision: &decision})
	}
	return d
}

func (k *Kernel) endHandover(now time.Time, req *ActiveRequest, r HandoverResult) Decision {
	if k.interrupts(now, req, r.Result) {
		r.Result = ResultInterrupted
	}
	h := req.handover
	req.handover = nil
	req.recordProof(r.proof())
	if k.handoversTo[h.peer]--; k.handoversTo[h.peer] <= 0 {
		delete(k.handoversTo, h.peer)
	}
	req.addStep(Event{At: now, Kind: EventHandoverEnded, Server: h.peer, Result: r.Result, Proof: r.proof(), Reason: r.Reason, Attempt: len(req.steps)/2 + 1, Duration: now.Sub(h.sentAt), Err: r.Err})
	switch r.Result {
	case ResultResponded:
		return k.endWithPeerResponse(now, req, h, r)
	case ResultCallerGone:
		return k.finish(now, req, Decision{Reason: ReasonCallerGone})
	case ResultUnreachable:
		k.unablePeers[h.peer] = now.Add(unablePeerBackoff)
		return k.continueAfterHandover(now, req, ReasonCutOff)
	case ResultTimeout:
		return k.fail(now, req, ReasonTimeout)
	case ResultInterrupted:
		return k.fail(now, req, ReasonShutdown)
	}
	k.unablePeers[h.peer] = now.Add(unablePeerBackoff)
	req.reachedServers += h.attempts
	if r.ResponseStarted {
		return k.fail(now, req, ReasonConnectionLost)
	}
	return k.retryAtPeer(now, req, ReasonConnectionLost)
}

// endWithPeerResponse returns the response of a peer, unless the peer could do no more for the
// request than this proxy.
func (k *Kernel) endWithPeerResponse(now time.Time, req *ActiveRequest, h *activeHandover, r HandoverResult) Decision {
	if r.Server != "" {
		delete(k.refusedHandovers, req.Route.Name)
		k.recordPeerSignal(now, h, r)
	}
	if r.failedAttempt() && !r.ResponseStarted {
		req.reachedServers += max(1, r.ServersReached)
		if d, ok := k.retryAtNextPeer(now, req); ok {
			return d
		}
	}
	if r.Server != "" {
		if !req.mayReturn(r) {
			return k.fail(now, req, ReasonServerError)
		}
		d := Decision{ReturnResponse: true}
		if r.ServerFailed {
			d.Reason = ReasonServerError
		}
		return k.finish(now, req, d)
	}
	switch {
	case !r.NotRun && r.Reason == ReasonShutdown:
		// The peer has interrupted its attempt.
		k.unablePeers[h.peer] = now.Add(unablePeerBackoff)
		return k.continueAfterPeer(now, req, r)
	case !r.NotRun:
	case r.Reason == ReasonCutOff || r.Reason == ReasonNoConfiguration || r.Reason == ReasonShutdown:
		k.unablePeers[h.peer] = now.Add(unablePeerBackoff)
		return k.continueAfterPeer(now, req, r)
	case r.Reason == ReasonNoServer:
		// Another peer may still reach a server.
		return k.continueAfterPeer(now, req, r)
	}
	switch {
	case r.NotRun && req.mayHaveRun():
		// The peer knows nothing of the attempt at this proxy, which may have run.
		return k.fail(now, req, r.Reason)
	case !req.mayReturn(r):
		return k.fail(now, req, ReasonServerError)
	}
	return k.finish(now, req, Decision{ReturnResponse: true, Reason: r.Reason, NotRun: r.NotRun})
}

// failedAttempt reports whether the peer's attempts failed in a way after which the request may be sent again. The
// peer has left that to this proxy.
func (r HandoverResult) failedAttempt() bool {
	if r.Server != "" {
		return r.ServerFailed
	}
	return r.Reason == ReasonRejected || r.Reason == ReasonConnectionLost || r.Reason == ReasonServerError
}

// mayReturn reports whether the caller may get the response of a peer: if its status means that the request
// has not run, the peer must have proven it, unless the request may run again.
func (req *ActiveRequest) mayReturn(r HandoverResult) bool {
	return !r.ClaimsNotRun || req.Route.Idempotent || r.proof() == ProofPeer
}

// expireHandoverBackoffs removes the backoffs that are over.
func (k *Kernel) expireHandoverBackoffs(now time.Time) {
	isOver := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(k.unablePeers, isOver)
	maps.DeleteFunc(k.unableRoutes, isOver)
}

// recordPeerSignal records the backpressure that a server announced in its response to a peer. A
// pause is left out, because it is meant for the peer alone.
func (k *Kernel) recordPeerSignal(now time.Time, h *activeHandover, r HandoverResult) {
	s := k.servers[r.Server]
	if s == nil {
		return
	}
	signal := r.Signal
	signal.Pause = 0
	if state := k.backpressure.RecordSignal(now, h.sentAt, s.startID, signal, true); state != nil {
		s.backpressure = state
	}
}

// continueAfterPeer hands a request over to another peer after one that could not serve it. That is a
// retry if the peer sent the request to servers that rejected it.
func (k *Kernel) continueAfterPeer(now time.Time, req *ActiveRequest, r HandoverResult) Decision {
	req.reachedServers += r.ServersReached
	if r.ServersReached > 0 {
		return k.retryAtPeer(now, req, r.Reason)
	}
	return k.continueAfterHandover(now, req, r.Reason)
}

// retryAtPeer hands a request over to another peer after it reached a server, or ends it.
func (k *Kernel) retryAtPeer(now time.Time, req *ActiveRequest, reason Reason) Decision {
	if !k.mayRetry(now, req) {
		return k.fail(now, req, reason)
	}
	d := k.continueAfterHandover(now, req, reason)
	if d.Handover == nil {
		k.refundRetry(now, req)
	}
	return d
}

// retryAtNextPeer hands a request over to another peer as a retry. It reports false if that is not possible.
func (k *Kernel) retryAtNextPeer(now time.Time, req *ActiveRequest) (Decision, bool) {
	if !k.mayRetry(now, req) {
		return Decision{}, false
	}
	d, ok := k.handOver(now, req)
	if !ok {
		k.refundRetry(now, req)
	}
	return d, ok
}

// continueAfterHandover hands the request over to another peer, or ends it.
func (k *Kernel) continueAfterHandover(now time.Time, req *ActiveRequest, reason Reason) Decision {
	if d, ok := k.handOver(now, req); ok {
		return d
	}
	if reason == ReasonNoServer {
		k.recordRefusedHandover(now, req.Route.Name)
	}
	return k.fail(now, req, reason)
}

// recordRefusedHandover records that peers found no server for a request.
func (k *Kernel) recordRefusedHandover(now time.Time, route string) {
	k.refusedHandovers[route]++
	if k.refusedHandovers[route] >= maxRefusedHandovers {
		k.unableRoutes[route] = now.Add(unableRouteBackoff)
		delete(k.refusedHandovers, route)
	}
}

// peersMayReach reports whether peers may reach servers that this proxy does not: some that could
// take the request did not respond to this proxy lately.
func (k *Kernel) peersMayReach(now time.Time, req *ActiveRequest) bool {
	return slices.ContainsFunc(k.eligibleService(req.Service).eligible, func(s *server) bool {
		return req.allowedRegions.has(s.regionBit) && now.Sub(s.silentAt) < silentServerMemory && (slices.Contains(req.triedServers, s) || !s.usable(now))
	})
}

// callersShouldLeave reports whether callers of this proxy should use another one: this proxy is
// cut off from all servers, and lookups return others instead.
func (k *Kernel) callersShouldLeave() bool {
	return k.reachability.CutOff() && k.replacedInDirectory
}
