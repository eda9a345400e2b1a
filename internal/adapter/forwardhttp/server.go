// Package forwardhttp receives requests from callers and forwards them to backend servers
// unchanged. The steering kernel decides on the server, on retries and on rejection.
package forwardhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bearer"
	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the idle timeout of callers, so that callers close idle connections and
	// not the proxy: a request then never races with a close.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the limit of net/http. That of the listener is lower and follows the
	// configuration.
	maxHeaderBytes = 1 << 20
	// bodyTimeout is how long a body may take to arrive, unless the configuration allows more.
	bodyTimeout = 10 * time.Second
	// responseTimeout is how long a caller may take to read a response: 4.5 Mbit/s for the largest.
	responseTimeout = 30 * time.Second
	// shortTimeout is how long a request without a body and its response may each take where nothing is
	// forwarded.
	shortTimeout = 5 * time.Second
	// noMemoryRetryAfter is the Retry-After of a request that is rejected because the memory for
	// bodies is used up. Bodies are buffered for the duration of their requests, usually less than
	// a second.
	noMemoryRetryAfter = 500 * time.Millisecond
	// configurationTimeout is how long after the process start requests wait for the first
	// configuration, which arrives within that time if the store or a peer is reachable. Rejected
	// callers would retry later, and after a power loss of the whole fleet all at the same time.
	configurationTimeout = 300 * time.Millisecond
	// DefaultMaxHeadBytes is the limit of heads if the configuration has none.
	DefaultMaxHeadBytes = 64 << 10
	// defaultMaxBodyBytes is the body limit if the configuration has none.
	defaultMaxBodyBytes = 1 << 20
	// dialBaseTimeout plus dialRoundTrips round trips is the dial timeout: a dead server must not
	// delay a request for long, and a distant one needs the round trips.
	dialBaseTimeout = 250 * time.Millisecond
	dialRoundTrips  = 2
	// shortBodyBytes is the length up to which a body is read in any case: otherwise the connection must
	// be closed.
	shortBodyBytes = 64 << 10
	// maxCallerTimeout is the longest timeout that is accepted from callers; longer ones are
	// ignored.
	maxCallerTimeout = 10 * time.Minute
)

type (
	// Headers contains the names of the header fields and the cookie that callers send.
	Headers struct {
		// AttemptID is the header with the ID of the caller's attempt.
		AttemptID string
		// Deadline is the header with the caller's timeout in milliseconds.
		Deadline string
		// ObjectCookie is the cookie with the name of the request's object.
		ObjectCookie string
	}

	// Executor runs a function with exclusive access to the kernel, and the current time.
	Executor func(func(*steering.Kernel, time.Time))

	// result is how a request ended. The response is nil unless the decision returns one.
	result struct {
		decision steering.Decision
		response *serverhttp.Response
		// repeatable is set if the route allows the request to run more than once.
		repeatable bool
	}

	// forwardOptions are the body of a request and how it is forwarded.
	forwardOptions struct {
		body       *bodies.Body
		receivedAt time.Time
		// onStream is called with a long response that is still arriving. It may be nil.
		onStream func(*serverhttp.Response)
		// mayStream reports whether onStream may be called. It may be nil.
		mayStream func() bool
		// connectionUses is how many requests the caller's connection has carried, including this one, or
		// zero for a request before its turn.
		connectionUses int
		// onlyIfRepeatable is set for a request before its turn: it starts only if its route allows
		// it to run more than once.
		onlyIfRepeatable bool
		// onlyIfUnrouted is set for a request whose body was not read: it starts only if there is no
		// route for it, and then ends at once.
		onlyIfUnrouted bool
	}

	// Server serves the requests of callers.
	Server struct {
		// Name is the name of this proxy.
		Name       string
		Headers    Headers
		WithKernel Executor
		// BodyMemory limits the memory of all request bodies and responses together.
		BodyMemory *bodies.MemoryBudget
		// HeadMemory limits the memory of requests that are read before their turn. It may be nil.
		HeadMemory *bodies.MemoryBudget
		Send       func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response)
		// SendToPeer sends a request to another proxy.
		SendToPeer func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response)
		Now        func() time.Time
		// RequestSlot waits for a slot of a server; it reports false if there is no response.
		// ReleaseSlot returns a slot.
		RequestSlot func(context.Context, steering.SlotRequest) (steering.SlotReply, bool)
		ReleaseSlot func(steering.SlotRelease)
		// RequestPoolToken asks the proxy that runs a pool for one token of an account's rate
		// limit; it reports false if there is no response.
		RequestPoolToken func(ctx context.Context, pool, account string) (ratelimit.TokenReply, bool)
		// IsStopping reports whether the process is shutting down and callers should use another
		// proxy.
		IsStopping func() bool
		// OnUnprovenStatus is called for each status that is not returned because it means that the
		// request has not run and nothing proves it. It may be nil.
		OnUnprovenStatus func()
		// Configured is closed once the first configuration has arrived.
		Configured <-chan struct{}
		// StartedAt is when the process started to listen.
		StartedAt time.Time
		// Requests is the parent of the contexts of all requests. To cancel it interrupts them.
		Requests context.Context
	}
)

// HTTPServer returns an HTTP server with timeouts and limits.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConnection,
		BaseContext:       func(net.Listener) context.Context { return s.Requests },
	}
}

func (s *Server) serve(out http.ResponseWriter, r *http.Request) {
	w := &promiseWriter{ResponseWriter: out, request: s.requestName(r), onUnproven: s.OnUnprovenStatus}
	connection := pipelineOf(r.Context())
	early := connection.beginTurn(r)
	defer connection.endTurn()
	if result, started := early.wait(); started {
		defer result.response.Release()
		s.writeResponse(w, r, result)
		return
	}
	receivedAt := s.Now()
	s.awaitConfiguration(r.Context())
	if result, ended := s.endUnrouted(r, receivedAt); ended {
		connection.stopStarting()
		respondAndClose(out, r, func(buffer http.ResponseWriter) {
			w.ResponseWriter = buffer
			s.writeResponse(w, r, result)
		})
		return
	}
	body, err := s.readBody(w, r)
	if err != nil {
		connection.stopStarting()
		respondAndClose(out, r, func(buffer http.ResponseWriter) {
			w.ResponseWriter = buffer
			s.rejectBody(w, r, err)
		})
		return
	}
	defer body.Release()
	AbortIfEvicted(r)
	stream := &responseStream{}
	result, _ := s.forward(r.Context(), r, forwardOptions{
		body: body, receivedAt: receivedAt, connectionUses: connectionUses(r.Context()), onStream: func(response *serverhttp.Response) { stream.start(s, w, r, response) }, mayStream: connection.beginStream,
	})
	defer result.response.Release()
	if stream.started() {
		s.endStream(r, stream, result)
		return
	}
	s.writeResponse(w, r, result)
}

// forward sends a request to servers as the kernel decides, until it ends. It reports false if the
// options forbid the request to start.
func (s *Server) forward(ctx context.Context, r *http.Request, o forwardOptions) (result, bool) {
	request := steering.Request{
		ID: s.requestName(r), Host: hostWithoutPort(r.Host), Path: pathAsSent(r), Credential: bearer.ParseCredential(r.Header),
		ConnectionUses: o.connectionUses,
	}
	if c, err := r.Cookie(s.Headers.ObjectCookie); err == nil {
		request.Object = ShortName(c.Value)
	}
	request.Work = quarantine.NewFingerprint(r.Method, request.Host, r.RequestURI, r.Header.Get(bearer.Header), o.body.Content...)
	if h, ok := handoverOf(r.Context()); ok {
		request.IsHandover, request.HandoverFrom, request.AttemptsUsed, request.ConnectionsLost = true, h.from, h.attemptsUsed, h.connectionsLost
		request.IsCounted = h.isCounted
	}
	if timeout, ok := parseTimeout(r.Header.Get(s.Headers.Deadline)); ok {
		request.Deadline = o.receivedAt.Add(timeout)
	}
	var active *steering.ActiveRequest
	var decision steering.Decision
	s.WithKernel(func(k *steering.Kernel, now time.Time) {
		if (!o.onlyIfRepeatable || routeAllowsRepeats(k, r)) && (!o.onlyIfUnrouted || isUnrouted(k, r)) {
			active, decision = k.BeginRequest(now, request)
		}
	})
	if active == nil {
		return result{}, false
	}
	for decision.QuotaPool != "" {
		decision = s.acquireToken(ctx, active, decision.QuotaPool)
	}
	newRequest := func(target *steering.Target, isHedge bool) serverhttp.Request {
		return s.newServerRequest(r, o, active, target, isHedge)
	}
	var response *serverhttp.Response
	for decision.Server != nil || decision.Handover != nil {
		if decision.Handover != nil {
			response.Release()
			decision, response = s.handOver(ctx, r, o, active, decision.Handover)
			continue
		}
		if decision.SlotRequest != nil {
			decision = s.acquireSlot(ctx, active, *decision.SlotRequest)
			continue
		}
		response.Release()
		if decision.HedgeAfter > 0 {
			decision, response = s.sendHedged(ctx, active, decision, newRequest)
			continue
		}
		var attempt steering.Attempt
		attempt, response = s.Send(ctx, newRequest(decision.Server, false))
		decision = s.endAttempt(active, attempt)
	}
	return result{decision: decision, response: response, repeatable: active.Route != nil && active.Route.Idempotent}, true
}

// acquireToken asks a pool whether the request is within the rate limit of its account.
func (s *Server) acquireToken(ctx context.Context, active *steering.ActiveRequest, pool string) (d steering.Decision) {
	reply, responded := s.RequestPoolToken(ctx, pool, active.Account.Name)
	s.WithKernel(func(k *steering.Kernel, now time.Time) { d = k.ApplyPoolToken(now, active, reply, responded) })
	return d
}

// acquireSlot waits for a slot of the server that the kernel has chosen.
func (s *Server) acquireSlot(ctx context.Context, active *steering.ActiveRequest, request steering.SlotRequest) (d steering.Decision) {
	reply, responded := s.RequestSlot(ctx, request)
	if ctx.Err() != nil {
		return s.endAttempt(active, steering.Attempt{Result: steering.ResultCallerGone, Unsent: true, Err: ctx.Err()})
	}
	s.WithKernel(func(k *steering.Kernel, now time.Time) { d = k.HandleSlotReply(now, active, reply, responded) })
	s.releaseSlot(d)
	return d
}

// endAttempt reports the result of an attempt to the kernel and releases the slot.
func (s *Server) endAttempt(active *steering.ActiveRequest, a steering.Attempt) (d steering.Decision) {
	s.WithKernel(func(k *steering.Kernel, now time.Time) { d = k.EndAttempt(now, active, a) })
	s.releaseSlot(d)
	return d
}

func (s *Server) releaseSlot(d steering.Decision) {
	if d.SlotRelease != nil {
		s.ReleaseSlot(*d.SlotRelease)
	}
}

// awaitConfiguration waits for the first configuration for a short time after the process start.
func (s *Server) awaitConfiguration(ctx context.Context) {
	remaining := configurationTimeout - s.Now().Sub(s.StartedAt)
	if remaining <= 0 {
		return
	}
	select {
	case <-s.Configured:
	case <-ctx.Done():
	case <-time.After(remaining):
	}
}

func (s *Server) newServerRequest(r *http.Request, o forwardOptions, active *steering.ActiveRequest, target *steering.Target, isHedge bool) serverhttp.Request {
	account := ""
	if active.Account != nil {
		account = active.Account.Name
	}
	return serverhttp.Request{
		HasAccounts: active.HasAccounts, Account: account,
		Address: target.Address, InstanceID: target.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI,
		Header: r.Header, Body: o.body.Content, AttemptID: r.Header.Get(s.Headers.AttemptID), Deadline: active.ExpiresAt,
		DialTimeout:    min(dialBaseTimeout+dialRoundTrips*target.RoundTrip, active.ExpiresAt.Sub(s.Now())),
		MaxConnections: target.MaxConnections, StoppedAccepting: func() bool { return s.serverStoppedAccepting(active, isHedge) },
		OnStream: o.onStream, MayStream: o.mayStream,
	}
}

// serverStoppedAccepting reports whether the server of an attempt has stopped accepting requests
// since it was chosen.
func (s *Server) serverStoppedAccepting(active *steering.ActiveRequest, isHedge bool) (stopped bool) {
	s.WithKernel(func(k *steering.Kernel, now time.Time) { stopped = !k.ServerStillAccepts(now, active, isHedge) })
	return stopped
}

// readBody reads the complete body before any decision: a retry needs it again, and a caller that
// aborts must not leave a partial request on a server.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*bodies.Body, error) {
	limit, timeout := int64(defaultMaxBodyBytes), bodyTimeout
	s.WithKernel(func(k *steering.Kernel, _ time.Time) {
		t := k.Table()
		if t == nil {
			return
		}
		if t.Limits.BodyBytes > 0 {
			limit = t.Limits.BodyBytes
		}
		timeout = max(timeout, t.Limits.HeaderTimeout)
	})
	return ReadBody(r, func() (*bodies.Body, error) { return s.BodyMemory.ReadRequest(w, r, limit, timeout) })
}

// endUnrouted ends a request with a long body for which there is no route, without reading the body. It reports
// false if the request has no long body or a route.
func (s *Server) endUnrouted(r *http.Request, receivedAt time.Time) (result, bool) {
	if r.ContentLength >= 0 && r.ContentLength <= shortBodyBytes {
		return result{}, false
	}
	unrouted := false
	s.WithKernel(func(k *steering.Kernel, _ time.Time) { unrouted = isUnrouted(k, r) })
	if !unrouted {
		return result{}, false
	}
	// A new configuration may have added a route in the meantime.
	return s.forward(r.Context(), r, forwardOptions{body: &bodies.Body{}, receivedAt: receivedAt, connectionUses: connectionUses(r.Context()), onlyIfUnrouted: true})
}

// isUnrouted reports whether a configuration is in force that has no route for a request.
func isUnrouted(k *steering.Kernel, r *http.Request) bool {
	t := k.Table()
	return t != nil && t.Match(hostWithoutPort(r.Host), pathAsSent(r)) == nil
}

// rejectBody responds to a request whose body could not be read; nothing was forwarded.
func (s *Server) rejectBody(w *promiseWriter, r *http.Request, err error) {
	klog.InfoS("request body rejected", "request", s.requestName(r), "length", r.ContentLength, "error", err.Error())
	w.mayPromise = true
	s.echoAttempt(w, r)
	describeToPeer(w, r, steering.Decision{NotRun: true}, nil)
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, bodies.ErrMemoryExhausted):
		s.writeError(w, r, steering.Decision{NotRun: true, RetryAfter: noMemoryRetryAfter})
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.WriteHeader(http.StatusRequestTimeout)
	default:
		// The caller aborted the body and won't read a response.
		panic(http.ErrAbortHandler)
	}
}

// writeResponse writes the final response to the caller.
func (s *Server) writeResponse(w *promiseWriter, r *http.Request, done result) {
	d, response := done.decision, done.response
	w.mayPromise = d.NotRun || done.repeatable
	s.closeConnectionIf(s.IsStopping() || d.TryOtherProxy, w, r)
	if !d.ReturnResponse || response == nil {
		s.writeError(w, r, d)
		return
	}
	copyResponseHeader(w, response)
	describeToPeer(w, r, d, response)
	header := w.Header()
	if r.Method != http.MethodHead && bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.Itoa(response.Body.Content.Len()))
	}
	w.WriteHeader(response.Status)
	if err := bodies.Write(w, response.Body.Content, responseTimeout); err != nil {
		klog.V(1).InfoS("can't write the response to the caller", "request", s.requestName(r), "error", err.Error())
	}
}

// closeConnectionIf closes the connection after the response if the condition holds, unless requests
// behind it are running already: these are answered first.
func (s *Server) closeConnectionIf(condition bool, w http.ResponseWriter, r *http.Request) {
	if condition && pipelineOf(r.Context()).mayClose() {
		w.Header().Set("Connection", "close")
	}
}

func copyResponseHeader(w http.ResponseWriter, response *serverhttp.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeError writes an error response. 503 guarantees that the request has not run and never will.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, d steering.Decision) {
	status := http.StatusBadGateway
	switch {
	case d.Reason == steering.ReasonNoRoute:
		status = http.StatusNotFound
	case d.Reason == steering.ReasonNoAccount && d.NotRun:
		status = http.StatusUnauthorized
		w.Header().Set("WWW-Authenticate", bearer.Scheme)
	case d.NotRun:
		status = http.StatusServiceUnavailable
		if d.Reason == steering.ReasonRateLimit {
			status = http.StatusTooManyRequests
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(d.RetryAfter.Seconds(), 'f', 3, 64))
	case d.Reason == steering.ReasonTimeout, d.Reason == steering.ReasonShutdown:
		status = http.StatusGatewayTimeout
	}
	describeToPeer(w, r, d, nil)
	s.echoAttempt(w, r)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if err := bodies.Write(w, nil, responseTimeout); err != nil {
		klog.V(1).InfoS("can't write the response to the caller", "request", s.requestName(r), "error", err.Error())
	}
}

// echoAttempt names the request in a response of this proxy.
func (s *Server) echoAttempt(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(s.Headers.AttemptID); id != "" {
		w.Header().Set(s.Headers.AttemptID, id)
	}
}

func parseTimeout(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxCallerTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// pathAsSent returns the path of a request without decoding it. Servers get it like this, and an encoded
// slash does not separate segments.
func pathAsSent(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// hostWithoutPort returns the host without its port.
func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	if a, err := netip.ParseAddr(host); err == nil {
		return a.String()
	}
	return host
}
