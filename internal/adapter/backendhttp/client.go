// Package backendhttp sends requests to backend servers over HTTP and reports the result of each
// attempt. It makes no retry decisions.
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
	// ResponseBufferSize is how much of a response, in bytes, is buffered before the first byte is
	// sent to the caller. If the response is interrupted within the buffer, the request can be
	// retried on another server.
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

	errStrayResponse = errors.New("received the response to another attempt")
)

type (
	// Client sends requests to backend servers.
	Client struct {
		http *http.Client
		now  func() time.Time
	}

	// Request is one attempt to send a caller's request to a backend server.
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

	// Response is the result of an attempt. Remainder streams what follows the buffered part of a
	// long response; the reader must close it.
	Response struct {
		Result backend.Result
		Answer *caller.Response
		Report *backend.Report
		// ConnectionRefused is set if no process listens on the server's address.
		ConnectionRefused bool
		Remainder         io.ReadCloser
		Err               error
	}

	remainderReader struct {
		io.Reader
		io.Closer
	}
)

// NewClient returns a client with up to connections connections per server. now provides the
// timestamps of load reports.
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

// Send sends the request once and returns the result.
func (c *Client) Send(ctx context.Context, r Request) Response {
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return Response{Result: backend.Unreachable, Err: err}
	}
	response, connected, err := c.do(request)
	if err != nil {
		return Response{Result: classifyFailure(ctx, connected), ConnectionRefused: serverhttp.IsConnectionRefused(err), Err: err}
	}
	return c.readResponse(ctx, response, r.Address.String())
}

// do sends a request and returns its response, and whether it had a connection. A server may repeat the
// response to an earlier request of the connection. If it echoes the attempt, that is an error here, and
// the connection is closed: the responses behind it would all go to the wrong requests.
func (c *Client) do(request *http.Request) (response *http.Response, connected bool, err error) {
	var connection atomic.Pointer[net.Conn]
	written := make(chan httptrace.WroteRequestInfo, 1)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case <-written:
			default:
			}
			written <- info
		},
	}
	response, err = c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	used := connection.Load()
	if err != nil {
		return nil, used != nil, err
	}
	if echoed := response.Header.Get(caller.HeaderAttempt); echoed != "" && echoed != request.Header.Get(caller.HeaderAttempt) {
		_ = (*used).Close()
		_ = response.Body.Close()
		return nil, true, errStrayResponse
	}
	if err := serverhttp.CheckHead(response); err != nil {
		_ = (*used).Close()
		_ = response.Body.Close()
		return nil, true, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unsizedBody{ReadCloser: response.Body, ctx: request.Context(), written: written}
	}
	return response, true, nil
}

// classifyFailure returns the result of an exchange that has no complete response. Without a
// connection, no byte can have reached the server. With one, the request may have run even if the
// write failed: it is unknown how much the operating system accepted before the error.
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
	// Without GetBody the transport cannot send the body again.
	request.GetBody = nil
	serverhttp.CopyHeader(request.Header, r.Header)
	hideIdempotencyKey(request.Header)
	request.Header.Del(caller.HeaderToken)
	request.Header.Set(caller.HeaderRequest, r.ID)
	request.Header.Set(caller.HeaderAttempt, r.Attempt)
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMicro(), 10))
	return request, nil
}

// hideIdempotencyKey prevents automatic retries by net/http. If a request has an Idempotency-Key
// header, the transport retries a POST without a body when a reused connection breaks, although the
// server may have run the first one. The transport checks the canonical spelling only. Header names
// are case-insensitive on the wire, so the server still receives the lower-case form.
func hideIdempotencyKey(h http.Header) {
	if values, ok := h[idempotencyHeader]; ok {
		delete(h, idempotencyHeader)
		h[idempotencyHeaderLower] = values
	}
}

func (c *Client) readResponse(ctx context.Context, response *http.Response, server string) Response {
	report := c.parseReport(response, server)
	if response.Header.Get(caller.HeaderOutcome) == caller.OutcomeNotRun.String() {
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
	for _, name := range []string{caller.HeaderAttempt, caller.HeaderLoad, caller.HeaderDraining, caller.HeaderLimit} {
		header.Del(name)
	}
	callerResponse := &caller.Response{Status: response.StatusCode, Header: header, Body: buffered}
	result := Response{Result: backend.Completed, Answer: callerResponse, Report: report}
	if len(buffered) < ResponseBufferSize {
		_ = response.Body.Close()
		return result
	}
	result.Remainder = remainderReader{Reader: response.Body, Closer: response.Body}
	return result
}

func (c *Client) parseReport(r *http.Response, server string) *backend.Report {
	running, err := strconv.Atoi(r.Header.Get(caller.HeaderLoad))
	draining := r.Header.Get(caller.HeaderDraining) == "true"
	signal := serverhttp.ParseSignal(r, backpressureHeaders, server)
	if err != nil && !draining && signal.IsEmpty() {
		return nil
	}
	return &backend.Report{Running: max(0, running), Draining: draining, Signal: signal, At: c.now()}
}

// Probe sends a health check to a server.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) backend.Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+probePath, nil)
	if err != nil {
		return backend.Health{}
	}
	response, _, err := c.do(request)
	if err != nil {
		return backend.Health{ConnectionRefused: serverhttp.IsConnectionRefused(err)}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes))
	return backend.Health{OK: response.StatusCode < http.StatusInternalServerError, Report: c.parseReport(response, address.String())}
}
