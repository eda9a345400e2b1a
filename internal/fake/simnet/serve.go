package simnet

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
)

// serve runs a caller's request through the decisions of the kernel and responds to it once.
func (p *Proxy) serve(r request) {
	p.pendingRequests++
	incarnation := p.incarnation
	reply := r.respond
	responded := false
	r.respond = func(result caller.Result, token string) {
		if p.incarnation == incarnation && !responded {
			responded = true
			p.pendingRequests--
			reply(result, token)
		}
	}
	p.applyDecision(r, p.kernel.BeginRequest(p.now(), r.Request))
}

// applyDecision carries out a decision of the kernel: respond, forward or dispatch.
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

// forward passes a request to a peer and returns the peer's result.
func (p *Proxy) forward(r request, d core.Decision) {
	forwarded := r.Request
	forwarded.Deadline = d.Deadline
	forwarded.Forwarded = true
	timeout := max(minForwardTimeout, d.Deadline.Sub(p.now()))
	p.callPeer(d.Peer.PeerAddress, timeout, func(target *Proxy, reply func(func())) {
		target.serve(request{Request: forwarded, sendID: r.sendID, key: r.key, respond: func(result caller.Result, _ string) {
			reply(func() { r.respond(result, "") })
		}})
	}, func() {
		r.respond(p.kernel.HandleForwardFailure(p.now(), r.Service, d.ID, d.Peer.Name), "")
	})
}

// dispatch sends one attempt to a backend server and reports its end to the kernel exactly once.
// Past the deadline, an idempotent attempt is abandoned at once, any other after the grace period
// for the response.
func (p *Proxy) dispatch(r request, d core.Decision) {
	server := p.sim.servers[d.Server.Name]
	incarnation := p.incarnation
	finished := false
	p.sim.checks.checkDispatch(p, server, d.Deadline)
	finish := func(result backend.Result, report *backend.Report) {
		p.runInProcess(incarnation, func() {
			if finished {
				return
			}
			finished = true
			p.sim.checks.recordReport(p, server, report)
			var response *caller.Response
			if result == backend.Completed {
				response = &caller.Response{Status: 200, Body: []byte(r.key)}
			}
			p.applyDecision(r, p.kernel.EndAttempt(p.now(), core.AttemptEnd{
				Attempt: d.Attempt, Result: result, Response: response, Report: report, ConnectionRefused: result == backend.Unreachable && server.down,
			}))
		})
	}
	p.sendToServer(server, r, d, finish)
	remaining := d.Deadline.Sub(p.now())
	if d.Idempotent {
		p.sim.After(remaining, func() { finish(backend.Abandoned, nil) })
		return
	}
	p.after(remaining, func() {
		if !finished {
			r.respond(p.kernel.HandleDeadlineExceeded(p.now(), d.Attempt), "")
		}
	})
	p.sim.After(remaining+core.ResponseGracePeriod, func() { finish(backend.Abandoned, nil) })
}

// sendToServer delivers one attempt over the simulated network, on which the connection may fail or
// break.
func (p *Proxy) sendToServer(server *BackendServer, r request, d core.Decision, finish func(backend.Result, *backend.Report)) {
	req := &serverRequest{dispatch: dispatch{
		key: r.key, sendID: r.sendID, attempt: d.ID, deadline: d.Deadline, booking: !d.Idempotent,
	}}
	req.respond = func(result backend.Result, report *backend.Report) {
		if returnDelay, ok := p.sim.delay(server.location, p.location); ok {
			p.sim.After(returnDelay, func() { finish(result, report) })
		}
	}
	// The bytes leave the process a moment after the decision; a freeze in between delays them
	// until the process resumes.
	p.after(0, func() {
		outboundDelay, ok := p.sim.delay(p.location, server.location)
		if !ok {
			p.sim.After(dialTimeout, func() { finish(backend.Unreachable, nil) })
			return
		}
		p.sim.After(outboundDelay, func() {
			if p.sim.random.IntN(1000) < p.sim.checks.resetPermille {
				p.breakConnection(server, req, finish)
				return
			}
			server.accept(req)
		})
	})
}

// breakConnection breaks the connection to a server: in half of the cases before the server reads
// the request, in the other half after it has run.
func (p *Proxy) breakConnection(server *BackendServer, req *serverRequest, finish func(backend.Result, *backend.Report)) {
	if p.sim.random.IntN(2) == 0 {
		finish(backend.Interrupted, nil)
		return
	}
	respond := req.respond
	req.respond = func(result backend.Result, report *backend.Report) {
		if result == backend.Completed {
			result = backend.Interrupted
		}
		respond(result, report)
	}
	server.accept(req)
}
