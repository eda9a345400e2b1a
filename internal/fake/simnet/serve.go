package simnet

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
)

// serve takes a caller's request through the kernel's decisions.
func (p *Proxy) serve(r request) {
	p.pendingRequests++
	incarnation := p.incarnation
	reply := r.respond
	answered := false
	r.respond = func(result caller.Result, token string) {
		if p.incarnation == incarnation && !answered {
			answered = true
			p.pendingRequests--
			reply(result, token)
		}
	}
	p.applyDecision(r, p.kernel.BeginRequest(p.now(), r.Request))
}

func (p *Proxy) applyDecision(r request, d core.Decision) {
	switch d.Step {
	case core.StepFinish:
		r.respond(d.Result, d.NewToken)
	case core.StepForward:
		p.forward(r, d)
	case core.StepDispatch:
		p.dispatch(r, d)
	}
}

func (p *Proxy) forward(r request, d core.Decision) {
	inner := r.Request
	inner.Deadline = d.Deadline
	inner.Forwarded = true
	timeout := max(minForwardTimeout, d.Deadline.Sub(p.now()))
	p.callPeer(d.Peer.PeerAddress, timeout, func(target *Proxy, reply func(func())) {
		target.serve(request{Request: inner, sendID: r.sendID, key: r.key, respond: func(result caller.Result, _ string) {
			reply(func() { r.respond(result, "") })
		}})
	}, func() {
		r.respond(p.kernel.HandleForwardFailure(p.now(), r.Service, d.ID, d.Peer.Name), "")
	})
}

// dispatch sends one attempt to a backend server and brings its end back, once.
func (p *Proxy) dispatch(r request, d core.Decision) {
	w := p.sim.servers[d.Server.Name]
	incarnation := p.incarnation
	ended := false
	p.sim.checks.checkDispatch(p, w, d.Deadline)
	end := func(result backend.Result, report *backend.Report) {
		p.runInProcess(incarnation, func() {
			if ended {
				return
			}
			ended = true
			p.sim.checks.recordReport(p, w, report)
			var answer *caller.Response
			if result == backend.Answered {
				answer = &caller.Response{Status: 200, Body: []byte(r.key)}
			}
			p.applyDecision(r, p.kernel.EndAttempt(p.now(), core.AttemptEnd{
				Attempt: d.Attempt, Result: result, Answer: answer, Report: report, ConnectionRefused: result == backend.Unreachable && w.down,
			}))
		})
	}
	p.sendToServer(w, r, d, end)
	left := d.Deadline.Sub(p.now())
	if d.Idempotent {
		p.sim.After(left, func() { end(backend.Abandoned, nil) })
		return
	}
	p.after(left, func() {
		if !ended {
			r.respond(p.kernel.HandleDeadlineExceeded(p.now(), d.Attempt), "")
		}
	})
	p.sim.After(left+core.AnswerGracePeriod, func() { end(backend.Abandoned, nil) })
}

func (p *Proxy) sendToServer(w *BackendServer, r request, d core.Decision, end func(backend.Result, *backend.Report)) {
	j := &queuedRequest{dispatch: dispatch{
		key: r.key, sendID: r.sendID, attempt: d.ID, deadline: d.Deadline, booking: !d.Idempotent,
	}}
	j.respond = func(result backend.Result, report *backend.Report) {
		if returnDelay, ok := p.sim.delay(w.location, p.location); ok {
			p.sim.After(returnDelay, func() { end(result, report) })
		}
	}
	// The bytes leave the process a moment after the decision; a freeze in
	// between holds them until the thaw.
	p.after(0, func() {
		outboundDelay, ok := p.sim.delay(p.location, w.location)
		if !ok {
			p.sim.After(dialTimeout, func() { end(backend.Unreachable, nil) })
			return
		}
		p.sim.After(outboundDelay, func() {
			if p.sim.random.IntN(1000) < p.sim.checks.resetPermille {
				p.breakConnection(w, j, end)
				return
			}
			w.accept(j)
		})
	})
}

// breakConnection breaks the connection: half of the times before the request is read,
// half after it has run.
func (p *Proxy) breakConnection(w *BackendServer, j *queuedRequest, end func(backend.Result, *backend.Report)) {
	if p.sim.random.IntN(2) == 0 {
		end(backend.Interrupted, nil)
		return
	}
	answer := j.respond
	j.respond = func(result backend.Result, report *backend.Report) {
		if result == backend.Answered {
			result = backend.Interrupted
		}
		answer(result, report)
	}
	w.accept(j)
}
