package simnet

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
)

// serve takes a caller's request through the kernel's decisions.
func (p *Proxy) serve(r request) {
	p.pending++
	life := p.life
	reply := r.reply
	answered := false
	r.reply = func(result caller.Result, token string) {
		if p.life == life && !answered {
			answered = true
			p.pending--
			reply(result, token)
		}
	}
	p.step(r, p.kernel.BeginRequest(p.now(), r.Request))
}

func (p *Proxy) step(r request, d core.Decision) {
	switch d.Step {
	case core.StepFinish:
		r.reply(d.Result, d.NewToken)
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
	timeout := max(forwardMinimum, d.Deadline.Sub(p.now()))
	p.call(d.Peer.PeerAddress, timeout, func(target *Proxy, reply func(func())) {
		target.serve(request{Request: inner, send: r.send, key: r.key, reply: func(result caller.Result, _ string) {
			reply(func() { r.reply(result, "") })
		}})
	}, func() {
		r.reply(p.kernel.HandleForwardFailure(p.now(), r.Service, d.ID, d.Peer.Name), "")
	})
}

// dispatch sends one attempt to a backend server and brings its end back, once.
func (p *Proxy) dispatch(r request, d core.Decision) {
	w := p.sim.workers[d.Server.Name]
	life := p.life
	ended := false
	p.sim.checks.dispatched(p, w, d.Deadline)
	end := func(result backend.Result, report *backend.Report) {
		p.do(life, func() {
			if ended {
				return
			}
			ended = true
			p.sim.checks.heard(p, w, report)
			var answer *caller.Response
			if result == backend.Answered {
				answer = &caller.Response{Status: 200, Body: []byte(r.key)}
			}
			p.step(r, p.kernel.EndAttempt(p.now(), core.AttemptEnd{
				Attempt: d.Attempt, Result: result, Answer: answer, Report: report, ConnectionRefused: result == backend.Unreachable && w.down,
			}))
		})
	}
	p.sendToWorker(w, r, d, end)
	left := d.Deadline.Sub(p.now())
	if d.Idempotent {
		p.sim.After(left, func() { end(backend.Abandoned, nil) })
		return
	}
	p.after(left, func() {
		if !ended {
			r.reply(p.kernel.HandleDeadlineExceeded(p.now(), d.Attempt), "")
		}
	})
	p.sim.After(left+core.AnswerGracePeriod, func() { end(backend.Abandoned, nil) })
}

func (p *Proxy) sendToWorker(w *BackendServer, r request, d core.Decision, end func(backend.Result, *backend.Report)) {
	j := &queuedRequest{dispatch: dispatch{
		key: r.key, send: r.send, attempt: d.ID, deadline: d.Deadline, book: !d.Idempotent,
	}}
	j.reply = func(result backend.Result, report *backend.Report) {
		if back, ok := p.sim.delay(w.place, p.place); ok {
			p.sim.After(back, func() { end(result, report) })
		}
	}
	// The bytes leave the process a moment after the decision; a freeze in
	// between holds them until the thaw.
	p.after(0, func() {
		there, ok := p.sim.delay(p.place, w.place)
		if !ok {
			p.sim.After(dialTimeout, func() { end(backend.Unreachable, nil) })
			return
		}
		p.sim.After(there, func() {
			if p.sim.random.IntN(1000) < p.sim.checks.resets {
				p.reset(w, j, end)
				return
			}
			w.accept(j)
		})
	})
}

// reset breaks the connection: half of the times before the request is read,
// half after it has run.
func (p *Proxy) reset(w *BackendServer, j *queuedRequest, end func(backend.Result, *backend.Report)) {
	if p.sim.random.IntN(2) == 0 {
		end(backend.Interrupted, nil)
		return
	}
	answer := j.reply
	j.reply = func(result backend.Result, report *backend.Report) {
		if result == backend.Answered {
			result = backend.Interrupted
		}
		answer(result, report)
	}
	w.accept(j)
}
