package forwardhttp

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// firstAttempt and hedgeAttempt are the attempts whose response the caller may get; noAttempt
	// means that it gets neither yet.
	noAttempt attemptNumber = iota
	firstAttempt
	hedgeAttempt
)

type (
	attemptNumber uint8

	// hedgedSend sends a request that may have two attempts in flight. The caller gets the response
	// of one of them.
	hedgedSend struct {
		send func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response)
		// ended receives the end of each attempt. It never blocks the sender.
		ended chan endedAttempt
		// inFlight counts the attempts that have not been received from ended.
		inFlight int

		mu sync.Mutex
		// begun is set once a response has begun to arrive.
		begun bool
		// winner is the attempt whose response the caller gets. cancel cancels the attempts.
		winner attemptNumber
		cancel [hedgeAttempt + 1]context.CancelFunc
	}

	endedAttempt struct {
		number   attemptNumber
		attempt  steering.Attempt
		response *serverhttp.Response
	}
)

// sendHedged sends a request to the server of a decision and, if the kernel allows it, a second
// time after the delay of the decision. It returns when the kernel has made the next decision, with
// the response of the attempt that led to it. newRequest builds the request of an attempt; bodies
// that it refers to are not used after the return.
func (s *Server) sendHedged(ctx context.Context, active *steering.ActiveRequest, first steering.Decision, newRequest func(_ *steering.Target, isHedge bool) serverhttp.Request) (steering.Decision, *serverhttp.Response) {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedSend{send: s.Send, ended: make(chan endedAttempt, hedgeAttempt)}
	request := newRequest(first.Server, false)
	defer cancel()
	h.start(ctx, firstAttempt, request)
	timer := time.NewTimer(first.HedgeAfter)
	defer timer.Stop()
	var response *serverhttp.Response
	for {
		select {
		case <-timer.C:
			if ctx.Err() != nil || h.hasBegun() || len(h.ended) > 0 {
				continue
			}
			if d := s.beginHedge(active); d.Server != nil {
				h.start(ctx, hedgeAttempt, newRequest(d.Server, true))
			}
		case e := <-h.ended:
			h.inFlight--
			if !h.counts(e) {
				e.response.Release()
				continue
			}
			response.Release()
			response = e.response
			if d := s.endAttempt(active, e.attempt); !d.OtherContinues {
				cancel()
				h.abandon(e.number, len(request.Body) > 0)
				return d, response
			}
		}
	}
}

func (s *Server) beginHedge(active *steering.ActiveRequest) (d steering.Decision) {
	s.WithKernel(func(k *steering.Kernel, now time.Time) { d = k.BeginHedge(now, active) })
	return d
}

// start sends the request of an attempt.
func (h *hedgedSend) start(ctx context.Context, number attemptNumber, request serverhttp.Request) {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.cancel[number] = cancel
	if h.winner != noAttempt {
		// The response of the first attempt has begun while the kernel decided on the hedge.
		cancel()
	}
	h.mu.Unlock()
	// refused is a response that was passed on while it arrived and that the caller must not get.
	var refused *serverhttp.Response
	if onStream := request.OnStream; onStream != nil {
		request.OnStream = func(response *serverhttp.Response) {
			if h.claim(number) {
				onStream(response)
				return
			}
			refused = response
			cancel()
		}
	}
	request.OnBegin = h.setBegun
	h.inFlight++
	go func() {
		defer cancel()
		attempt, response := h.send(ctx, request)
		if refused != nil {
			// It is released here because Send still writes to it until it returns.
			refused.Release()
			response = nil
		}
		attempt.Hedge = number == hedgeAttempt
		h.ended <- endedAttempt{number, attempt, response}
	}()
}

// claim reports whether the caller gets the response of an attempt, and cancels the other attempt
// then. It reports true for one of the attempts only.
func (h *hedgedSend) claim(number attemptNumber) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == noAttempt {
		h.winner = number
		if cancel := h.cancel[firstAttempt+hedgeAttempt-number]; cancel != nil {
			cancel()
		}
	}
	return h.winner == number
}

// counts reports whether the end of an attempt is reported to the kernel. Once the caller gets the
// response of the other attempt, it is not.
func (h *hedgedSend) counts(e endedAttempt) bool {
	if e.attempt.Result == steering.ResultResponded {
		return h.claim(e.number)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner == noAttempt || h.winner == e.number
}

func (h *hedgedSend) setBegun() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = true
}

func (h *hedgedSend) hasBegun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begun
}

// abandon releases the response of an attempt that is still in flight after the other one ended the
// request, once that attempt has ended. It must have been cancelled. The caller does not wait for
// it, unless it still reads a body that is about to be released.
func (h *hedgedSend) abandon(ended attemptNumber, readsBody bool) {
	if h.inFlight == 0 {
		return
	}
	release := func() { (<-h.ended).response.Release() }
	switch {
	case !h.claim(ended):
		// The caller has left, but the other response has begun to be passed on. The handler must not
		// return before it has ended, and its receiver releases it.
		<-h.ended
	case readsBody:
		release()
	default:
		go release()
	}
}
