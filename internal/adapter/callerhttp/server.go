// Package callerhttp is the HTTP API for callers: proxy lookup, idempotency tokens and requests to
// services.
package callerhttp

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bearer"
	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	servicePrefix  = "/services/"
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 90 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

var (
	reasonStatus = map[caller.Reason]int{
		caller.ReasonNoService:           http.StatusNotFound,
		caller.ReasonTokenRequired:       http.StatusPreconditionRequired,
		caller.ReasonTokenInvalid:        http.StatusBadRequest,
		caller.ReasonTokenExpired:        http.StatusPreconditionFailed,
		caller.ReasonTokenClosed:         http.StatusPreconditionFailed,
		caller.ReasonInProgress:          http.StatusConflict,
		caller.ReasonResponseNotRetained: http.StatusGone,
		caller.ReasonDeadline:            http.StatusGatewayTimeout,
		caller.ReasonMinterTimeout:       http.StatusGatewayTimeout,
		caller.ReasonConnectionLost:      http.StatusBadGateway,
		caller.ReasonMinterGone:          http.StatusBadGateway,
		caller.ReasonTokenRecordExpired:  http.StatusBadGateway,
	}
)

type (
	// Limits bounds the memory for request bodies, in bytes: of one request and of all together.
	Limits struct {
		MaxBodyBytes  int64
		MaxTotalBytes int64
	}

	// Request is a caller's request to a service.
	Request struct {
		core.Request
		Header http.Header
		Body   []byte
	}

	// Reply is the final result of a request. If Stream is set, the body is still arriving, and
	// Stream must be called to write it; it returns an error if the response was interrupted after
	// the first bytes were sent.
	Reply struct {
		Result   caller.Result
		ID       string
		NewToken string
		Stream   func(io.Writer) error
	}

	// Server serves the requests of callers.
	Server struct {
		withKernel core.Executor
		run        func(context.Context, Request) Reply
		limits     Limits
		bodyMemory *bodies.MemoryBudget
		onResult   func(service string, r caller.Result, took time.Duration)
		now        func() time.Time
	}

	lookupResponse struct {
		Service     string       `json:"service"`
		HomeRegion  string       `json:"home-region"`
		Proxies     []proxyEntry `json:"proxies"`
		TTL         string       `json:"lifetime"`
		Explanation []string     `json:"why,omitempty"`
	}

	proxyEntry struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Region  string         `json:"region"`
	}

	tokenResponse struct {
		Token string `json:"token"`
		TTL   string `json:"lifetime"`
	}

	errorResponse struct {
		Outcome string        `json:"outcome"`
		Reason  caller.Reason `json:"reason"`
		Message string        `json:"text,omitempty"`
	}
)

// NewServer returns a server. run processes a request until its final result; onResult is called
// with each final result.
func NewServer(k core.Executor, run func(context.Context, Request) Reply, l Limits, now func() time.Time, onResult func(string, caller.Result, time.Duration)) *Server {
	return &Server{
		withKernel: k, run: run, limits: l, bodyMemory: bodies.NewMemoryBudget(l.MaxTotalBytes),
		onResult: onResult, now: now,
	}
}

// HTTPServer returns an HTTP server with timeouts and limits.
func (s *Server) HTTPServer() *http.Server {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/lookup", s.handleLookup).Methods(http.MethodGet)
	router.HandleFunc("/v1/tokens", s.handleToken).Methods(http.MethodPost)
	router.PathPrefix(servicePrefix + "{service}").HandlerFunc(s.handleRequest)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// handleLookup returns the proxies that a client should use. Operators can look up another client
// with ?client=.
func (s *Server) handleLookup(w http.ResponseWriter, r *http.Request) {
	client := clientAddress(r)
	if text := r.URL.Query().Get("client"); text != "" {
		address, err := netip.ParseAddr(text)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{Message: "client: must be an IP address"})
			return
		}
		client = address
	}
	var result core.LookupResponse
	var found bool
	var explanation []string
	s.withKernel(func(k *core.Kernel, now time.Time) {
		result, found = k.Lookup(now, r.URL.Query().Get("service"), client)
		if r.URL.Query().Has("explain") {
			explanation = k.ExplainRouting(client)
		}
	})
	if !found {
		writeJSON(w, http.StatusNotFound, errorResponse{Message: "service: must be the name of a service that has a live proxy"})
		return
	}
	w.Header().Set("Cache-Control", "private, max-age="+strconv.Itoa(int(result.TTL.Seconds())))
	response := lookupResponse{
		Service: result.Service, HomeRegion: result.HomeRegion,
		TTL: result.TTL.String(), Explanation: explanation, Proxies: proxyEntries(result.Proxies),
	}
	writeJSON(w, http.StatusOK, response)
}

func proxyEntries(members []peer.Member) []proxyEntry {
	list := make([]proxyEntry, 0, len(members))
	for _, m := range members {
		list = append(list, proxyEntry{Name: m.Name, Address: m.Address, Region: m.Region})
	}
	return list
}

func (s *Server) handleToken(w http.ResponseWriter, r *http.Request) {
	var text string
	var ok bool
	var ttl time.Duration
	s.withKernel(func(k *core.Kernel, now time.Time) {
		text, ok = k.Mint(now, r.URL.Query().Get("service"))
		if b := k.Bundle(); b != nil {
			ttl = b.Token.TTL.Std()
		}
	})
	if !ok {
		w.Header().Set("Retry-After", "1")
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Message: "no token: unknown service, or this proxy stops or is full"})
		return
	}
	writeJSON(w, http.StatusOK, tokenResponse{Token: text, TTL: ttl.String()})
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	receivedAt := s.now()
	service := mux.Vars(r)["service"]
	body, err := forwardhttp.ReadBody(r, func() (*bodies.Body, error) {
		return s.bodyMemory.ReadRequest(w, r, s.limits.MaxBodyBytes, readTimeout)
	})
	if err != nil {
		s.rejectBody(w, service, receivedAt, err)
		return
	}
	defer body.Release()
	forwardhttp.AbortIfEvicted(r)
	content := body.Content.Bytes()
	// Bytes joins the pieces of a long body, which would be held beside the copy.
	body.Content = bodies.NewContent(content)
	q := Request{
		Request: core.Request{
			Service:     service,
			Method:      r.Method,
			Path:        backendPath(r, service),
			Client:      clientAddress(r),
			Fingerprint: WorkFingerprint(service, r.Method, backendPath(r, service), r.Header, content),
			Token:       r.Header.Get(caller.HeaderToken),
		},
		Header: r.Header,
		Body:   content,
	}
	if text := r.Header.Get(caller.HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			writeJSON(w, http.StatusBadRequest, errorResponse{Message: caller.HeaderTimeout + `: must be a time span such as "800ms"`})
			return
		}
		q.Deadline = receivedAt.Add(timeout)
	}
	reply := s.run(r.Context(), q)
	s.writeReply(w, reply)
	s.onResult(service, reply.Result, s.now().Sub(receivedAt))
}

// backendPath returns the path and query for the backend server.
func backendPath(r *http.Request, service string) string {
	path := r.URL.EscapedPath()[len(servicePrefix)+len(service):]
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (s *Server) rejectBody(w http.ResponseWriter, service string, receivedAt time.Time, err error) {
	result := caller.Result{Outcome: caller.OutcomeNotRun, Reason: caller.ReasonProxyBusy, RetryAfter: time.Second}
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		setOutcomeHeaders(w, result)
		writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{Outcome: caller.OutcomeNotRun.String(), Message: err.Error()})
	default:
		s.writeReply(w, Reply{Result: result})
	}
	s.onResult(service, result, s.now().Sub(receivedAt))
}

func setOutcomeHeaders(w http.ResponseWriter, r caller.Result) {
	w.Header().Set(caller.HeaderOutcome, r.Outcome.String())
	if r.Reason != caller.ReasonNone {
		w.Header().Set(caller.HeaderReason, string(r.Reason))
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
}

// writeReply writes the final result to the caller.
func (s *Server) writeReply(w http.ResponseWriter, reply Reply) {
	result := reply.Result
	setOutcomeHeaders(w, result)
	if reply.ID != "" {
		w.Header().Set(caller.HeaderRequest, reply.ID)
	}
	if reply.NewToken != "" {
		w.Header().Set(caller.HeaderToken, reply.NewToken)
	}
	if result.Outcome != caller.OutcomeDone || result.Response == nil {
		status, ok := reasonStatus[result.Reason]
		if !ok {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, errorResponse{Outcome: result.Outcome.String(), Reason: result.Reason})
		return
	}
	for name, values := range result.Response.Header {
		w.Header()[name] = values
	}
	if reply.Stream == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(result.Response.Body)))
		w.WriteHeader(result.Response.Status)
		_, _ = w.Write(result.Response.Body)
		return
	}
	w.WriteHeader(result.Response.Status)
	if err := reply.Stream(w); err != nil {
		// The response was interrupted after its first bytes were sent. Ended normally, it would
		// look complete; an aborted connection is the one signal that every HTTP client
		// understands.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// clientAddress returns the caller's address. Headers such as X-Forwarded-For are not trusted:
// there is no load balancer in front of the proxies, so the peer of the connection is the caller.
func clientAddress(r *http.Request) netip.Addr {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	address, _ := netip.ParseAddr(host)
	return address.Unmap()
}

// WorkFingerprint identifies the work that a request asks a service to do. It excludes the
// idempotency token, which may differ when a caller retries.
func WorkFingerprint(service, method, path string, h http.Header, body []byte) quarantine.Fingerprint {
	return quarantine.NewFingerprint(method, service, path, h.Get(bearer.Header), body)
}
