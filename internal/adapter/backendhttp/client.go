// Package backendhttp sends requests to backend servers over HTTP and reports
// how each attempt ended, without deciding what follows from it.
package backendhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

const (
	// ResponseBufferSize of an answer are held back before the first byte goes to
	// the caller. An answer that breaks within them can be tried elsewhere.
	ResponseBufferSize = 256 << 10

	dialTimeout            = time.Second
	idleTimeout            = 30 * time.Second
	maxHeaderBytes         = 64 << 10
	probeTimeout           = 400 * time.Millisecond
	probePath              = "/health"
	idempotencyHeader      = "Idempotency-Key"
	idempotencyHeaderLower = "idempotency-key"
)

var (
	backpressureHeaders = serverhttp.Headers{Limit: caller.HeaderLimit}
)

type (
	// Client sends requests to backend servers.
	Client struct {
		http *http.Client
		now  func() time.Time
	}

	// Request is one attempt.
	Request struct {
		Address  netip.AddrPort
		Method   string
		Path     string
		Header   http.Header
		Body     []byte
		ID       string
		Attempt  string
		Deadline time.Time
	}

	// Response is how the attempt ended. Rest holds what follows the buffered
	// part of a long answer; the reader must close it.
	Response struct {
		Result backend.Result
		Answer *caller.Answer
		Report *backend.Report
		// ConnectionRefused is set if nothing listens at the server's address.
		ConnectionRefused bool
		Remainder         io.ReadCloser
		Err               error
	}

	remainderReader struct {
		io.Reader
		io.Closer
	}
)

// NewClient makes a client; now stamps load reports.
func NewClient(connections int, now func() time.Time) *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    connections,
		MaxConnsPerHost:        connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		now: now,
	}
}

// Send makes one attempt.
func (c *Client) Send(ctx context.Context, r Request) Response {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		return Response{Result: backend.Unreachable, Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{Result: classifyFailure(ctx, connected.Load()), ConnectionRefused: serverhttp.IsConnectionRefused(err), Err: err}
	}
	return c.readResponse(ctx, response, r.Address.String())
}

// classifyFailure classifies an exchange without an answer. Without a connection no
// byte can have reached the server. With one, the request may have run, even
// if the write failed: what the kernel took before the error is not known.
func classifyFailure(ctx context.Context, connected bool) backend.Result {
	switch {
	case !connected:
		return backend.Unreachable
	case ctx.Err() != nil:
		return backend.Abandoned
	}
	return backend.Interrupted
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// Without this function the transport cannot send the body twice.
	request.GetBody = nil
	serverhttp.CopyHeader(request.Header, r.Header)
	hideIdempotencyKey(request.Header)
	request.Header.Del(caller.HeaderToken)
	request.Header.Set(caller.HeaderRequest, r.ID)
	request.Header.Set(caller.HeaderAttempt, r.Attempt)
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMicro(), 10))
	return request, nil
}

// hideIdempotencyKey keeps net/http from repeating a request on its own. The transport
// takes an Idempotency-Key header for leave to send a POST without a body
// again when a kept connection breaks; the server may have run the first one.
// It looks for the canonical spelling only, and header names have no case on
// the wire, so the lower-case form reaches the server and not the transport.
func hideIdempotencyKey(h http.Header) {
	if values, ok := h[idempotencyHeader]; ok {
		delete(h, idempotencyHeader)
		h[idempotencyHeaderLower] = values
	}
}

func (c *Client) readResponse(ctx context.Context, response *http.Response, server string) Response {
	report := c.parseReport(response, server)
	if response.Header.Get(caller.HeaderOutcome) == caller.NotRun.String() {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, ResponseBufferSize))
		_ = response.Body.Close()
		return Response{Result: backend.Rejected, Report: report}
	}
	buffered, err := io.ReadAll(io.LimitReader(response.Body, ResponseBufferSize))
	if err != nil {
		_ = response.Body.Close()
		return Response{Result: classifyFailure(ctx, true), Report: report, Err: err}
	}
	header := make(http.Header)
	serverhttp.CopyHeader(header, response.Header)
	for _, name := range []string{caller.HeaderLoad, caller.HeaderLeaving, caller.HeaderLimit} {
		header.Del(name)
	}
	answer := &caller.Answer{Status: response.StatusCode, Header: header, Body: buffered}
	result := Response{Result: backend.Answered, Answer: answer, Report: report}
	if len(buffered) < ResponseBufferSize {
		_ = response.Body.Close()
		return result
	}
	result.Remainder = remainderReader{Reader: response.Body, Closer: response.Body}
	return result
}

func (c *Client) parseReport(r *http.Response, server string) *backend.Report {
	running, err := strconv.Atoi(r.Header.Get(caller.HeaderLoad))
	leaving := r.Header.Get(caller.HeaderLeaving) == "true"
	signal := serverhttp.ParseSignal(r, backpressureHeaders, server)
	if err != nil && !leaving && signal.IsEmpty() {
		return nil
	}
	return &backend.Report{Running: max(0, running), Leaving: leaving, Signal: signal, At: c.now()}
}

// Probe asks a server for its health.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) backend.Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+probePath, nil)
	if err != nil {
		return backend.Health{}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return backend.Health{ConnectionRefused: serverhttp.IsConnectionRefused(err)}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes))
	return backend.Health{OK: response.StatusCode < http.StatusInternalServerError, Report: c.parseReport(response, address.String())}
}
