package warmnet

import (
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// SlowRuns are runs at any server that take several times as long as usual. A second run of the
	// same request is drawn independently.
	SlowRuns struct {
		Share  float64 `json:"share"`
		Factor float64 `json:"times"`
	}

	// HedgeStats describes the second attempts that were sent while the first one was in flight.
	HedgeStats struct {
		// Sent counts the second attempts, Won those whose response the caller got, and ColdRuns
		// those that ran on a server that was cold for the object.
		Sent, Won, ColdRuns int
	}

	// hedgeState is the state of a request that may have two attempts in flight.
	hedgeState struct {
		// attempt counts the attempts other than the second of two. inFlight is set while one of
		// them is in flight.
		attempt  int
		inFlight bool
		// hedge is the second attempt in flight. first is the request whose second attempt this is.
		hedge, first *request
		// cancelled is set once the proxy has closed the connection of the attempt.
		cancelled bool
	}
)

// drawRun draws the duration of one run as a multiple of the usual one.
func (w *simulation) drawRun(req *request) float64 {
	if req.first != nil {
		random := w.random
		w.random = w.hedgeRandom
		defer func() { w.random = random }()
	}
	return w.drawServiceTimeFactor() * w.drawSlowRun()
}

// drawSlowRun draws the factor by which one run takes longer than usual.
func (w *simulation) drawSlowRun() float64 {
	if r := w.scenario.SlowRuns; r != nil && w.random.Float64() < r.Share {
		return r.Factor
	}
	return 1
}

// scheduleHedge has the proxy begin a second attempt if the one that it sends now takes too long.
func (w *simulation) scheduleHedge(req *request, d steering.Decision) {
	req.attempt++
	req.inFlight = true
	attempt := req.attempt
	if d.HedgeAfter == 0 || w.oracle {
		return
	}
	w.After(d.HedgeAfter, func() {
		if req.inFlight && req.attempt == attempt {
			w.beginHedge(req)
		}
	})
}

func (w *simulation) beginHedge(req *request) {
	if w.ended[req.kernel] {
		return
	}
	d := req.kernel.BeginHedge(w.clock(), req.activeRequest)
	if d.Server == nil {
		return
	}
	w.result.Hedges.Sent++
	hedge := *req
	hedge.hedgeState, hedge.server, hedge.conn = hedgeState{first: req}, w.byID[d.Server.ID], nil
	w.openConnection(&hedge)
	req.hedge = &hedge
	w.regionCounts.record(w.Now, req.region, hedge.server.region)
	w.After(w.roundTrip(req.proxyRegion, hedge.server.region)/2, func() {
		if !hedge.server.hasCached(req.activeRequest.Object) {
			w.result.Hedges.ColdRuns++
		}
		w.arriveAtServer(&hedge)
	})
}

// concludeAttempt returns the request of an attempt that has ended, and cancels its other attempt
// unless that one continues.
func (w *simulation) concludeAttempt(ended *request, d steering.Decision) *request {
	req, other := ended, ended.hedge
	if ended.first != nil {
		req, other = ended.first, nil
		req.hedge = nil
		if req.inFlight {
			other = req
		}
		if d.ReturnResponse {
			w.result.Hedges.Won++
		}
	} else {
		req.inFlight = false
	}
	if other != nil && !d.OtherContinues {
		w.cancel(other)
	}
	return req
}

// cancel closes the connection of an attempt. The server drops the request then.
func (w *simulation) cancel(req *request) {
	s := req.server
	req.cancelled = true
	w.After(w.roundTrip(req.proxyRegion, s.region)/2, func() {
		s.queue = slices.DeleteFunc(s.queue, func(other *request) bool { return other == req })
		if slices.Contains(s.activeRequests, req) {
			s.activeRequests = slices.DeleteFunc(s.activeRequests, func(other *request) bool { return other == req })
			s.running--
			w.startQueued(s)
		}
	})
}
