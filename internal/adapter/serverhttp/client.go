// Package serverhttp sends requests to backend servers over its own pool of HTTP/1.1 connections.
// It reports the result of each attempt and makes no decisions.
//
// It does not use the client of net/http, which retries a request by itself when a reused
// connection breaks, and cannot distinguish a response to an earlier request from the expected one.
package serverhttp

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bearer"
	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// maxResponseBytes limits a response, which is buffered completely before it is forwarded: a
	// truncated response must never look complete.
	maxResponseBytes = 16 << 20
	// maxInlineBodyBytes is the largest body that is written before the response is read. A server
	// may respond before it has read a longer one, and if both sides only wrote they would
	// deadlock.
	maxInlineBodyBytes = 16 << 10
	// maxStrayResponses is how many responses to earlier requests are skipped.
	maxStrayResponses = 2
	// minStreamBytes is the length from which a response is passed on while it arrives. A shorter
	// one is buffered first, so that another server can respond if this one breaks off: at
	// 10 Mbit/s that delays it by 26 ms at most.
	minStreamBytes = 32 << 10
	// probedInstance is the instance ID of probes. No server has it.
	probedInstance = "probe"
	// bufferSize is the size in bytes of a connection's read and write buffers.
	bufferSize = 4 << 10
)

var (
	errOnlyStrayResponses = errors.New("received only responses to other requests")
	errMissingSeal        = errors.New("successful response has no seal")
	errMissingAttemptID   = errors.New("response on a reused connection has no attempt ID")

	// hopByHopHeaders apply to a single connection and are never forwarded.
	hopByHopHeaders = []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
)

type (
	// Headers contains the names of the header fields between proxies and servers.
	Headers struct {
		// AttemptID is the ID of the caller's attempt; servers echo it.
		AttemptID string
		// Deadline is the remaining time in milliseconds.
		Deadline string
		// InstanceID is the ID of the intended server. It is empty if the requests go to proxies.
		InstanceID string
		// Load is the server's load report, see serverload.Parse.
		Load string
		// NotRun marks a response to a request that the server did not run.
		NotRun string
		// Seal marks a response that was produced by the server.
		Seal string
		// Account is the name of the request's client account.
		Account string
		// Limit is the rate of requests that a server accepts from all proxies together.
		Limit string
		// Draining is set to DrainingValue by a server that accepts no new requests.
		Draining, DrainingValue string
	}

	// Client sends requests to servers.
	Client struct {
		headers Headers
		pool    *pool
		memory  *bodies.MemoryBudget
		now     func() time.Time
		// oversize remembers the servers whose responses are limited more.
		oversize oversizeLog
		// onStray is called for each response to another request.
		onStray func()
	}

	// Request is one attempt to send a caller's request to a server.
	Request struct {
		Address    netip.AddrPort
		InstanceID string
		Method     string
		Host       string
		// Target is the path and query, unmodified, as sent by the caller.
		Target    string
		Header    http.Header
		Body      bodies.Content
		AttemptID string
		Deadline  time.Time
		// DialTimeout is the timeout for opening a connection.
		DialTimeout time.Duration
		// StoppedAccepting reports whether the server has stopped accepting requests since it was
		// chosen for this one. It may be nil.
		StoppedAccepting func() bool
		// MaxConnections limits the open connections to the server; zero means no limit.
		MaxConnections int
		// HasAccounts is set if requests carry keys of client accounts, which must not be forwarded
		// to servers. Account is the client account of the request, or empty.
		HasAccounts bool
		Account     string
		// OnStream is called with a long response whose body has not arrived yet, if MayStream returns
		// true then. Both must not block. If OnStream is nil, all responses are buffered; MayStream may
		// be nil.
		OnStream  func(*Response)
		MayStream func() bool
		// OnBegin is called when a response to this request has begun to arrive. It must not block.
		// It may be nil.
		OnBegin func()
	}

	// Response is a response of a server. It must be released.
	Response struct {
		// Server is the ID of the server that the request was sent to.
		Server string
		Status int
		Header http.Header
		// Body is the complete body. It is nil if the response has a Stream.
		Body *bodies.Body
		// Stream is the body of a response that was passed to OnStream.
		Stream *bodies.Stream
		// head is the memory of the header.
		head *bodies.Reservation
	}

	exchange struct {
		client  *Client
		conn    *pooledConn
		request Request
		message *http.Request
		// memory is the part of the client's budget for the server.
		memory *bodies.MemoryBudget
		// written receives the result of writing the request.
		written chan error
		// signal merges the backpressure signals of all responses of the exchange, including those
		// to other requests.
		signal backpressure.Signal
		// streamed is set once a response was passed to OnStream.
		streamed bool
	}
)

// Release releases the memory of the response. The response may be nil.
func (a *Response) Release() {
	if a != nil {
		a.Body.Release()
		a.Stream.Release()
		a.head.Release()
	}
}

// NewClient returns a client that buffers responses within the budget m. onOpen is called for each
// new connection.
func NewClient(h Headers, m *bodies.MemoryBudget, now func() time.Time, onOpen func()) *Client {
	return &Client{
		headers: h, memory: m, now: now, pool: newPool(now, onOpen), oversize: oversizeLog{at: make(map[netip.AddrPort]time.Time)},
		onStray: func() {},
	}
}

// CountSentBytes calls count with the number of bytes of each write to a server. It must be called
// before the first Send.
func (c *Client) CountSentBytes(count func(int)) { c.pool.onSent = count }

// CountStrayResponses calls count for each response that arrives on the connection of another request.
// It must be called before the first Send.
func (c *Client) CountStrayResponses(count func()) { c.onStray = count }

// Send sends the request once. The response is nil unless a complete one arrived. A response that
// was passed to OnStream must be released by its receiver, whether or not it is returned.
func (c *Client) Send(ctx context.Context, r Request) (steering.Attempt, *Response) {
	connection, roundTrip, err := c.pool.get(ctx, r.Address, r.AttemptID, r.MaxConnections, r.DialTimeout)
	if err != nil {
		if ctx.Err() != nil {
			return steering.Attempt{Result: steering.ResultCallerGone, Unsent: true, Err: ctx.Err()}, nil
		}
		return steering.Attempt{Result: steering.ResultUnreachable, Refusing: IsConnectionRefused(err), Err: err}, nil
	}
	if connection.Uses() == 0 && r.StoppedAccepting != nil && r.StoppedAccepting() {
		c.pool.put(connection, true, r.MaxConnections)
		return steering.Attempt{Result: steering.ResultNotSent, RoundTrip: roundTrip}, nil
	}
	e := &exchange{client: c, conn: connection, request: r, message: c.newMessage(r), memory: c.memory.From(r.Address), written: make(chan error, 1)}
	stop := context.AfterFunc(ctx, func() { _ = connection.Transport.Close() })
	response, reusable, err := e.run()
	if !stop() {
		// The caller disconnected, and the connection was closed to cancel the request on the
		// server.
		c.pool.put(connection, false, 0)
		if !e.streamed {
			response.Release()
		}
		return steering.Attempt{Result: steering.ResultCallerGone, Err: context.Cause(ctx), Signal: e.signal}, nil
	}
	uses := connection.Uses()
	c.pool.put(connection, reusable, r.MaxConnections)
	attempt := c.classify(r, response, err)
	attempt.RoundTrip, attempt.Signal, attempt.ResponseStarted = roundTrip, e.signal, e.streamed
	attempt.Connection, attempt.ConnectionUses = connection.Transport.number, uses
	return attempt, response
}

// MeasureRoundTrip measures the round-trip time by opening a connection, which it returns to the
// pool.
func (c *Client) MeasureRoundTrip(ctx context.Context, address netip.AddrPort, timeout time.Duration) (time.Duration, error) {
	connection, roundTrip, err := c.pool.getAny(ctx, address, timeout)
	if err != nil {
		return 0, err
	}
	c.pool.put(connection, true, 0)
	return roundTrip, nil
}

// Probe reports whether a server responds on a new connection. The request names no server, so that
// it is rejected immediately and takes no slot.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort, host, path string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connection, _, err := c.pool.open(ctx, address)
	if err != nil {
		return err
	}
	defer c.pool.put(connection, false, 0)
	if err := connection.Transport.SetDeadline(c.now().Add(timeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	m := c.newMessage(Request{Method: http.MethodGet, Host: host, Target: path, InstanceID: probedInstance, Deadline: c.now().Add(timeout)})
	if err := m.Write(connection.Transport); err != nil {
		return errors.Wrap(err, "write probe")
	}
	response, reservation, err := connection.Transport.readHead(m, c.memory.From(address))
	if err != nil {
		return errors.Wrap(err, "read response to probe")
	}
	reservation.Release()
	return response.Body.Close()
}

// IsConnectionRefused reports whether a connection failed because no process listens on the
// address, so the server has exited. A server that is unreachable or overloaded does not respond at
// all.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CloseIdleConnections closes the idle connections to a server that has restarted.
func (c *Client) CloseIdleConnections(address netip.AddrPort) { c.pool.connections.CloseIdle(address) }

// newMessage returns the HTTP request for the server.
func (c *Client) newMessage(r Request) *http.Request {
	header := make(http.Header, len(r.Header)+4)
	CopyHeader(header, r.Header)
	if _, present := header["User-Agent"]; !present {
		// An empty value prevents net/http from adding its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	timeLeft := max(1, r.Deadline.Sub(c.now()).Milliseconds())
	header.Set(c.headers.Deadline, strconv.FormatInt(timeLeft, 10))
	if c.headers.InstanceID != "" {
		header.Set(c.headers.InstanceID, r.InstanceID)
	}
	if r.HasAccounts {
		c.setAccount(header, r.Account)
	}
	m := &http.Request{
		Method: r.Method, Host: r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
	}
	if strings.HasPrefix(r.Target, "//") {
		// An opaque part that begins with // would be parsed as a host.
		path, query, _ := strings.Cut(r.Target, "?")
		m.URL = &url.URL{Scheme: "http", Host: r.Host, RawQuery: query}
		if unescaped, err := url.PathUnescape(path); err == nil {
			m.URL.Path, m.URL.RawPath = unescaped, path
		}
	}
	if length := r.Body.Len(); length > 0 {
		m.Body = io.NopCloser(r.Body.Reader())
		m.ContentLength = int64(length)
	}
	return m
}

// setAccount replaces the key by the name of the client account. It removes the header from the
// caller's request in any equivalent spelling.
func (c *Client) setAccount(header http.Header, account string) {
	header.Del(bearer.Header)
	for name := range header {
		if bearer.SameHeader(name, c.headers.Account) {
			delete(header, name)
		}
	}
	if account != "" {
		header.Set(c.headers.Account, account)
	}
}

// provesNotRun reports whether a response to a request proves that it has not run.
func (c *Client) provesNotRun(r *Response) bool {
	return r.Status == http.StatusMisdirectedRequest || r.Header.Get(c.headers.NotRun) != ""
}

// classify returns the result of an exchange.
func (c *Client) classify(r Request, response *Response, err error) steering.Attempt {
	a := steering.Attempt{Err: err}
	if response == nil {
		a.Result = steering.ResultConnectionLost
		if !c.now().Before(r.Deadline) {
			a.Result = steering.ResultTimeout
		}
		return a
	}
	if load, ok := serverload.Parse(response.Header.Get(c.headers.Load)); ok {
		a.Loaded, a.Running, a.Waiting, a.Slots, a.WorkPercent = true, load.Running, load.Waiting, load.Slots, load.WorkPercent
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		a.Result = steering.ResultWrongServer
	case response.Header.Get(c.headers.NotRun) != "":
		a.Result = steering.ResultRejected
	case response.Status >= http.StatusInternalServerError:
		a.Result = steering.ResultServerError
		a.ClaimsNotRun = MeansNotRun(response.Status)
	default:
		a.Result = steering.ResultResponded
		a.ClaimsNotRun = MeansNotRun(response.Status)
	}
	a.Rejected = response.Status >= http.StatusBadRequest
	response.Header.Del(c.headers.Load)
	return a
}

// MeansNotRun reports whether a status tells callers that the request has not run.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// run writes the request and reads its response. reusable is set if the connection can be used for
// another request.
func (e *exchange) run() (response *Response, reusable bool, err error) {
	if err := e.conn.Transport.SetDeadline(e.request.Deadline); err != nil {
		return nil, false, errors.Wrap(err, "set deadline")
	}
	e.conn.Begin(e.request.AttemptID)
	if e.request.Body.Len() <= maxInlineBodyBytes {
		if err := e.write(); err != nil {
			return nil, false, err
		}
		e.written <- nil
	} else {
		go func() { e.written <- e.write() }()
	}
	response, closes, err := e.read()
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-e.written:
		reusable = err == nil && !closes && e.conn.Transport.reader.Buffered() == 0
	default:
		// The server responded before it had read the whole body. The rest of the body belongs to
		// this request, so the connection cannot be reused.
	}
	return response, reusable, nil
}

func (e *exchange) write() error {
	w := bufio.NewWriterSize(e.conn.Transport, bufferSize)
	if err := e.message.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errs.Wrap(w.Flush(), "write request")
}

// read reads responses until the one to this request. A server may send a duplicate response to an
// earlier request first; the attempt ID distinguishes them, because the connection has carried it once
// only.
func (e *exchange) read() (*Response, bool, error) {
	sawStray := false
	for range maxStrayResponses + 1 {
		response, closes, err := e.readOne()
		if err != nil {
			return nil, true, err
		}
		switch id := response.Header.Get(e.client.headers.AttemptID); {
		case id == e.request.AttemptID:
			return e.checkSeal(response, closes || sawStray)
		case id == "" && e.conn.Uses() == 1 && !e.client.provesNotRun(response):
			// This is the first request on the connection, so the response can't belong to another. That
			// the request has not run takes the word of a server that has read it.
			return e.checkSeal(response, closes)
		case id == "":
			response.Release()
			return nil, true, errMissingAttemptID
		}
		e.client.onStray()
		response.Release()
		sawStray = true
	}
	return nil, true, errOnlyStrayResponses
}

func (e *exchange) checkSeal(response *Response, closes bool) (*Response, bool, error) {
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	if success && response.Header.Get(e.client.headers.Seal) == "" {
		response.Release()
		return nil, true, errMissingSeal
	}
	return response, closes, nil
}

func (e *exchange) readOne() (*Response, bool, error) {
	response, head, err := e.nextFinalResponse()
	if err != nil {
		return nil, true, errors.Wrap(err, "read response")
	}
	defer func() { _ = response.Body.Close() }()
	e.recordSignal(response)
	if id := response.Header.Get(e.client.headers.AttemptID); e.request.OnBegin != nil && (id == "" || id == e.request.AttemptID) {
		e.request.OnBegin()
	}
	contentLength := response.ContentLength
	if e.request.Method == http.MethodHead {
		// Content-Length is that of the response to a GET; there is no body.
		contentLength = 0
	}
	e.conn.KeepAlive = parseKeepAlive(response.Header.Get("Keep-Alive"), e.conn.KeepAlive)
	header := make(http.Header, len(response.Header))
	CopyHeader(header, response.Header)
	received := &Response{Server: e.request.InstanceID, Status: response.StatusCode, Header: header, head: head}
	if contentLength <= maxResponseBytes && e.mayStream(received, contentLength) {
		if err := e.stream(received, response.Body, contentLength); err != nil {
			if !e.streamed {
				received.Release()
			}
			return nil, true, err
		}
		return received, response.Close, nil
	}
	limit := e.client.oversize.limit(e.client.now(), e.request.Address, contentLength)
	if received.Body, err = e.memory.Read(response.Body, contentLength, limit); err != nil {
		received.Release()
		if limit == maxResponseBytes && errors.Is(err, bodies.ErrTooLarge) {
			e.client.oversize.record(e.client.now(), e.request.Address)
		}
		return nil, true, errors.Wrap(err, "read response body")
	}
	if contentLength < 0 && len(response.TransferEncoding) == 0 {
		if err := e.checkEnd(); err != nil {
			received.Release()
			return nil, true, err
		}
	}
	return received, response.Close, nil
}

// mayStream reports whether a response may be passed on while it arrives: it must be long, and its
// header must prove that it is the server's response to this request.
func (e *exchange) mayStream(r *Response, contentLength int64) bool {
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	return e.request.OnStream != nil && contentLength >= minStreamBytes && success &&
		r.Header.Get(e.client.headers.AttemptID) == e.request.AttemptID && e.request.AttemptID != "" && r.Header.Get(e.client.headers.Seal) != "" &&
		(e.request.MayStream == nil || e.request.MayStream())
}

// stream passes the response on and reads its body. From here on no other server can take the
// request: if the body breaks off, the caller's connection must be closed.
func (e *exchange) stream(r *Response, body io.Reader, contentLength int64) (err error) {
	if r.Stream, err = e.memory.NewStream(contentLength); err != nil {
		return errors.Wrap(err, "read response body")
	}
	e.streamed = true
	forwarded := &Response{Server: r.Server, Status: r.Status, Header: r.Header.Clone(), Stream: r.Stream, head: r.head}
	forwarded.Header.Del(e.client.headers.Load)
	e.request.OnStream(forwarded)
	return errs.Wrap(r.Stream.Fill(body), "read response body")
}

// nextFinalResponse reads the head of the next final response and skips interim (1xx) ones. Unless it
// returns an error, the reservation must be released.
func (e *exchange) nextFinalResponse() (*http.Response, *bodies.Reservation, error) {
	for range maxInterimResponses + 1 {
		response, reservation, err := e.conn.Transport.readHead(e.message, e.memory)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, reservation, nil
		}
		_ = response.Body.Close()
		reservation.Release()
	}
	return nil, nil, errTooManyInterim
}

// CopyHeader copies the end-to-end header fields and omits the hop-by-hop ones.
func CopyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, value := range src["Connection"] {
		for _, name := range strings.Split(value, ",") {
			dst.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		dst.Del(name)
	}
}
