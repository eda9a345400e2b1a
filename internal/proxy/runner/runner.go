// Package runner executes the kernel's decisions on a request: dispatch, forward, retry and final
// result. It makes no decisions itself.
package runner

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/backendhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/callerhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

type (
	// Runner serves requests.
	Runner struct {
		Name       string
		WithKernel core.Executor
		Send       func(context.Context, backendhttp.Request) backendhttp.Response
		Forward    func(context.Context, peer.Member, peer.ForwardRequest) (peer.ForwardReply, error)
		detached   sync.WaitGroup
	}

	endedAttempt struct {
		decision core.Decision
		response backendhttp.Response
	}
)

// Run serves one request until it has its final result.
func (r *Runner) Run(ctx context.Context, q callerhttp.Request) callerhttp.Reply {
	var d core.Decision
	r.WithKernel(func(k *core.Kernel, now time.Time) { d = k.BeginRequest(now, q.Request) })
	for {
		switch d.Step {
		case core.StepFinish:
			return callerhttp.Reply{Result: d.Result, ID: d.ID, NewToken: d.NewToken}
		case core.StepForward:
			return r.forwardToMinter(ctx, q, d)
		}
		a, ended := r.runAttempt(ctx, q, d)
		if !ended {
			return r.deadlineExceeded(d)
		}
		if a.response.Remainder != nil {
			return r.streamResponse(a)
		}
		d = r.endAttempt(a, false)
	}
}

// Wait waits for the attempts that continue without their callers.
func (r *Runner) Wait() { r.detached.Wait() }

// runAttempt sends the request to the chosen server. The attempt of a non-idempotent request
// continues when the caller disconnects or the deadline passes, so that the outcome can be returned
// if the caller retries the request. In that case runAttempt returns false.
func (r *Runner) runAttempt(ctx context.Context, q callerhttp.Request, d core.Decision) (endedAttempt, bool) {
	if d.Idempotent {
		return endedAttempt{decision: d, response: r.send(ctx, q, d, d.Deadline)}, true
	}
	done := make(chan endedAttempt, 1)
	callerGone := make(chan struct{})
	r.detached.Go(func() {
		a := endedAttempt{decision: d, response: r.send(context.WithoutCancel(ctx), q, d, d.Deadline.Add(core.ResponseGracePeriod))}
		select {
		case done <- a:
		default:
		}
		select {
		case <-callerGone:
			r.endDetached(done)
		default:
		}
	})
	timer := time.NewTimer(time.Until(d.Deadline))
	defer timer.Stop()
	select {
	case a := <-done:
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	close(callerGone)
	// The response may have arrived at the same time. Only the goroutine that receives it from the
	// channel ends the attempt, so the attempt is ended once.
	r.endDetached(done)
	return endedAttempt{}, false
}

func (r *Runner) endDetached(done <-chan endedAttempt) {
	select {
	case a := <-done:
		if a.response.Remainder != nil {
			_ = a.response.Remainder.Close()
			a.response.Answer.Streamed = true
		}
		r.endAttempt(a, true)
	default:
	}
}

func (r *Runner) send(ctx context.Context, q callerhttp.Request, d core.Decision, deadline time.Time) backendhttp.Response {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	response := r.Send(ctx, backendhttp.Request{
		Address:  d.Server.Address,
		Method:   q.Method,
		Path:     q.Path,
		Header:   q.Header,
		Body:     q.Body,
		ID:       d.ID,
		Attempt:  r.Name + "-" + strconv.FormatUint(d.Attempt.Serial(), 36),
		Deadline: d.Deadline,
	})
	if response.Remainder == nil {
		cancel()
		return response
	}
	response.Remainder = &cancelOnClose{ReadCloser: response.Remainder, cancel: cancel}
	return response
}

func (r *Runner) endAttempt(a endedAttempt, noRetry bool) core.Decision {
	var next core.Decision
	r.WithKernel(func(k *core.Kernel, now time.Time) {
		next = k.EndAttempt(now, core.AttemptEnd{
			Attempt:  a.decision.Attempt,
			Result:   a.response.Result,
			Response: a.response.Answer,
			Report:   a.response.Report,
			NoRetry:  noRetry,

			ConnectionRefused: a.response.ConnectionRefused,
		})
	})
	return next
}

func (r *Runner) deadlineExceeded(d core.Decision) callerhttp.Reply {
	reply := callerhttp.Reply{ID: d.ID}
	r.WithKernel(func(k *core.Kernel, now time.Time) { reply.Result = k.HandleDeadlineExceeded(now, d.Attempt) })
	return reply
}

// streamResponse streams a long response to the caller as it arrives. The attempt ends with the
// response.
func (r *Runner) streamResponse(a endedAttempt) callerhttp.Reply {
	result := caller.Result{Outcome: caller.OutcomeDone, Response: a.response.Answer}
	return callerhttp.Reply{Result: result, ID: a.decision.ID, Stream: func(w io.Writer) error {
		defer func() { _ = a.response.Remainder.Close() }()
		_, err := w.Write(a.response.Answer.Body)
		if err == nil {
			_, err = io.Copy(w, a.response.Remainder)
		}
		if err != nil {
			a.response.Result = backend.Interrupted
		}
		a.response.Answer.Streamed = true
		r.endAttempt(a, true)
		return err
	}}
}

func (r *Runner) forwardToMinter(ctx context.Context, q callerhttp.Request, d core.Decision) callerhttp.Reply {
	ctx, cancel := context.WithDeadline(ctx, d.Deadline)
	defer cancel()
	message := peer.ForwardRequest{
		From:     r.Name,
		Token:    q.Token,
		Service:  q.Service,
		Method:   q.Method,
		Path:     q.Path,
		Client:   q.Client.String(),
		Header:   q.Header,
		Body:     q.Body,
		Deadline: d.Deadline,
	}
	r.WithKernel(func(k *core.Kernel, now time.Time) { message.Stamp = k.Stamp(now) })
	forwardReply, err := r.Forward(ctx, d.Peer, message)
	if err == nil {
		r.WithKernel(func(k *core.Kernel, _ time.Time) { k.ObserveStamp(forwardReply.Stamp) })
		return callerhttp.Reply{Result: forwardReply.Result, ID: d.ID}
	}
	reply := callerhttp.Reply{ID: d.ID}
	r.WithKernel(func(k *core.Kernel, now time.Time) {
		reply.Result = k.HandleForwardFailure(now, q.Service, d.ID, d.Peer.Name)
	})
	return reply
}

// HandleForward serves a request that a peer forwarded.
func (r *Runner) HandleForward(ctx context.Context, f peer.ForwardRequest) peer.ForwardReply {
	r.WithKernel(func(k *core.Kernel, _ time.Time) { k.ObserveStamp(f.Stamp) })
	client, _ := netip.ParseAddr(f.Client)
	reply := r.Run(ctx, callerhttp.Request{
		Request: core.Request{
			Service: f.Service, Method: f.Method, Path: f.Path, Client: client,
			Token: f.Token, Deadline: f.Deadline, Forwarded: true,
			Fingerprint: callerhttp.WorkFingerprint(f.Service, f.Method, f.Path, f.Header, f.Body),
		},
		Header: f.Header,
		Body:   f.Body,
	})
	out := peer.ForwardReply{Result: reply.Result}
	if reply.Stream != nil {
		out.Result = r.bufferResponse(reply)
	}
	r.WithKernel(func(k *core.Kernel, now time.Time) { out.Stamp = k.Stamp(now) })
	return out
}

// bufferResponse buffers a streamed response for a peer. If the stream fails, the outcome is
// unknown.
func (r *Runner) bufferResponse(reply callerhttp.Reply) caller.Result {
	var body boundedBuffer
	if err := reply.Stream(&body); err != nil {
		return caller.Result{Outcome: caller.OutcomeUnknown, Reason: caller.ReasonConnectionLost}
	}
	result := reply.Result
	result.Response = &caller.Response{
		Status: result.Response.Status,
		Header: result.Response.Header,
		Body:   body.data,
	}
	return result
}
