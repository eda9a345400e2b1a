package forwardhttp

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// Header fields between two proxies. The first four are those of a request that is handed over:
	// the proxy that received it from its caller, the number of attempts that were used there, how
	// many of them lost their connection, and whether it counts in the retry budget there. The others
	// are those of the response: the server that sent it or, if it is the proxy's own, why the request
	// ended, whether it has not run, and how many servers it was sent to. Proxies of the version before
	// send neither the fourth nor the last.
	handoverFromHeader     = "Gypsumquay-Handover-From"
	handoverAttemptsHeader = "Gypsumquay-Handover-Attempts"
	handoverLostHeader     = "Gypsumquay-Handover-Lost"
	handoverCountedHeader  = "Gypsumquay-Handover-Counted"
	handoverServerHeader   = "Gypsumquay-Handover-Server"
	handoverReasonHeader   = "Gypsumquay-Handover-Reason"
	handoverNotRunHeader   = "Gypsumquay-Handover-Not-Run"
	handoverReachedHeader  = "Gypsumquay-Handover-Servers-Reached"
)

type (
	handoverKey struct{}

	// receivedHandover describes a request that another proxy handed over.
	receivedHandover struct {
		from                          string
		attemptsUsed, connectionsLost int
		isCounted                     bool
	}
)

// HandoverServer returns an HTTP server for the requests that other proxies hand over.
func (s *Server) HandoverServer() *http.Server {
	server := s.HTTPServer()
	server.Handler = http.HandlerFunc(s.serveHandover)
	return server
}

// serveHandover serves a request of another proxy like one of a caller, but never hands it over.
func (s *Server) serveHandover(w http.ResponseWriter, r *http.Request) {
	h, err := parseHandover(r.Header)
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, name := range []string{handoverFromHeader, handoverAttemptsHeader, handoverLostHeader, handoverCountedHeader} {
		r.Header.Del(name)
	}
	s.serve(w, r.WithContext(context.WithValue(r.Context(), handoverKey{}, h)))
}

// parseHandover reads the header fields of a request that is handed over.
func parseHandover(header http.Header) (h receivedHandover, err error) {
	if h.from = header.Get(handoverFromHeader); h.from == "" {
		return h, errors.New(handoverFromHeader + ": must be the name of a proxy, got nothing")
	}
	if h.attemptsUsed, err = parseCount(header, handoverAttemptsHeader); err != nil {
		return h, err
	}
	h.isCounted = header.Get(handoverCountedHeader) == "true"
	h.connectionsLost, err = parseCount(header, handoverLostHeader)
	return h, err
}

func parseCount(header http.Header, name string) (int, error) {
	n, err := strconv.ParseUint(header.Get(name), 10, 16)
	if err != nil {
		return 0, errors.Errorf("%s: must be a number of at least 0, got %q", name, header.Get(name))
	}
	return int(n), nil
}

// handoverOf returns the handover that a request came by.
func handoverOf(ctx context.Context) (receivedHandover, bool) {
	h, ok := ctx.Value(handoverKey{}).(receivedHandover)
	return h, ok
}

// describeToPeer adds how a request ended to the response to a proxy that handed it over. response
// is nil if the response is this proxy's own.
func describeToPeer(w http.ResponseWriter, r *http.Request, d steering.Decision, response *serverhttp.Response) {
	if _, ok := handoverOf(r.Context()); !ok {
		return
	}
	if response != nil {
		w.Header().Set(handoverServerHeader, response.Server)
		return
	}
	w.Header().Set(handoverReasonHeader, string(d.Reason))
	w.Header().Set(handoverNotRunHeader, strconv.FormatBool(d.NotRun))
	w.Header().Set(handoverReachedHeader, strconv.Itoa(d.ServersReached))
}

// handOver hands a request over to another proxy and returns the kernel's next step.
func (s *Server) handOver(ctx context.Context, r *http.Request, o forwardOptions, active *steering.ActiveRequest, h *steering.Handover) (steering.Decision, *serverhttp.Response) {
	header := r.Header.Clone()
	header.Set(handoverFromHeader, s.Name)
	header.Set(handoverAttemptsHeader, strconv.Itoa(h.AttemptsUsed))
	header.Set(handoverLostHeader, strconv.Itoa(h.ConnectionsLost))
	header.Set(handoverCountedHeader, strconv.FormatBool(h.IsCounted))
	request := serverhttp.Request{
		Address: h.Address, Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: header, Body: o.body.Content,
		AttemptID: r.Header.Get(s.Headers.AttemptID), Deadline: active.ExpiresAt, DialTimeout: min(dialBaseTimeout, active.ExpiresAt.Sub(s.Now())),
	}
	if o.onStream != nil {
		request.MayStream = o.mayStream
		request.OnStream = func(response *serverhttp.Response) {
			takeHandoverResult(response)
			o.onStream(response)
		}
	}
	attempt, response := s.SendToPeer(ctx, request)
	result := steering.HandoverResult{Result: attempt.Result}
	if response != nil {
		result = takeHandoverResult(response)
		result.Result, result.ServerFailed = steering.ResultResponded, response.Status >= http.StatusInternalServerError
		result.ClaimsNotRun = serverhttp.MeansNotRun(response.Status)
	}
	result.ResponseStarted, result.Signal, result.Err = attempt.ResponseStarted, attempt.Signal, attempt.Err
	var d steering.Decision
	s.WithKernel(func(k *steering.Kernel, now time.Time) { d = k.EndHandover(now, active, result) })
	return d, response
}

// takeHandoverResult removes the header fields between proxies from a response and returns what they
// say.
func takeHandoverResult(response *serverhttp.Response) steering.HandoverResult {
	h := response.Header
	result := steering.HandoverResult{
		Server: h.Get(handoverServerHeader), Reason: steering.Reason(h.Get(handoverReasonHeader)), NotRun: h.Get(handoverNotRunHeader) == "true",
	}
	if reached, err := parseCount(h, handoverReachedHeader); err == nil {
		result.ServersReached = reached
	}
	for _, name := range []string{handoverServerHeader, handoverReasonHeader, handoverNotRunHeader, handoverReachedHeader} {
		h.Del(name)
	}
	return result
}
