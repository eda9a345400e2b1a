// Package serverhttp exchanges requests with backend servers over HTTP/1.1
// connections that it keeps itself. It reports how each attempt ended and
// decides nothing.
//
// The standard library's client is not used for the exchange because it sends
// a request again by itself when a kept connection breaks, and because it
// cannot tell an answer to an earlier request from the one that is due.
package serverhttp

import (
	"bufio"
	"bytes"
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
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// maxResponseBytes bounds an answer, which is held whole before it is passed
	// on: a part must never look like the whole.
	maxResponseBytes = 16 << 20
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. A server may answer before it has read a longer one, and neither
	// side would go on if both only wrote.
	maxInlineBodyBytes = 16 << 10
	// maxStrayResponses is how many answers to earlier requests are skipped.
	maxStrayResponses = 2
	bufferSize        = 4 << 10
)

var (
	errOnlyStrayResponses = errors.New("answers to other requests only")
	errMissingSeal        = errors.New("success without the server's seal")
	errMissingAttemptID   = errors.New("answer on a kept connection does not name its request")

	// hopByHopHeaders concern one connection only and are never passed on.
	hopByHopHeaders = []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
)

type (
	// Headers names the header fields that servers and proxies exchange.
	Headers struct {
		// AttemptID names one attempt of a caller; servers echo it.
		AttemptID string
		// Deadline is the time left in milliseconds.
		Deadline string
		// InstanceID is the id of the server that is meant.
		InstanceID string
		// Load tells running and waiting requests and slots.
		Load string
		// NotRun marks an answer to a request that the server did not run.
		NotRun string
		// Seal marks an answer as the server's own.
		Seal string
		// Account names the client account of a request.
		Account string
		// Limit is the rate of requests that a server takes from all proxies together.
		Limit string
		// Draining is set to DrainingValue by a server that takes no new requests any more.
		Draining, DrainingValue string
	}

	// Client exchanges requests with servers.
	Client struct {
		headers Headers
		pool    *pool
		memory  *bodies.MemoryBudget
		now     func() time.Time
	}

	// Request is one attempt.
	Request struct {
		Address    netip.AddrPort
		InstanceID string
		Method     string
		Host       string
		// Target is the path and query as the caller wrote them.
		Target    string
		Header    http.Header
		Body      []byte
		AttemptID string
		Deadline  time.Time
		// DialTimeout bounds the opening of a connection.
		DialTimeout time.Duration
		// StoppedAccepting reports whether the server has asked for no more requests since this one
		// was meant for it; nil for never.
		StoppedAccepting func() bool
		// MaxConnections bounds the connections to the server; zero for no bound.
		MaxConnections int
		// HasAccounts is set if requests carry keys of client accounts, which servers must not
		// see; Account is that of the request, empty for none.
		HasAccounts bool
		Account     string
	}

	// Response is a server's whole answer. Its body must be released.
	Response struct {
		Status int
		Header http.Header
		Body   *bodies.Body
	}

	exchange struct {
		client  *Client
		conn    *conn
		request Request
		message *http.Request
		// signal is what all answers of the exchange ask together, those to other
		// requests included.
		signal backpressure.Signal
	}
)

// Release gives the memory of an answer's body back; there may be no answer.
func (a *Response) Release() {
	if a != nil {
		a.Body.Release()
	}
}

// NewClient makes a client that holds answers in memory. opened is told of each
// new connection.
func NewClient(h Headers, m *bodies.MemoryBudget, now func() time.Time, onOpen func()) *Client {
	return &Client{headers: h, memory: m, now: now, pool: newPool(now, onOpen)}
}

// Send makes one attempt. The answer is nil unless a whole one arrived.
func (c *Client) Send(ctx context.Context, r Request) (steering.Attempt, *Response) {
	connection, roundTrip, err := c.pool.get(ctx, r.Address, r.DialTimeout)
	if err != nil {
		if ctx.Err() != nil {
			return steering.Attempt{Result: steering.ResultCallerGone, Err: ctx.Err()}, nil
		}
		return steering.Attempt{Result: steering.ResultUnreachable, Refusing: IsConnectionRefused(err), Err: err}, nil
	}
	if connection.isFirstUse() && r.StoppedAccepting != nil && r.StoppedAccepting() {
		connection.uses = 0
		c.pool.put(connection, true, r.MaxConnections)
		return steering.Attempt{Result: steering.ResultNotSent, RoundTrip: roundTrip}, nil
	}
	e := &exchange{client: c, conn: connection, request: r, message: c.newMessage(r)}
	stop := context.AfterFunc(ctx, connection.abort)
	response, reusable, err := e.run()
	if !stop() {
		// The caller left, and the connection was closed to tell the server.
		response.Release()
		return steering.Attempt{Result: steering.ResultCallerGone, Err: context.Cause(ctx), Signal: e.signal}, nil
	}
	c.pool.put(connection, reusable, r.MaxConnections)
	attempt := c.classify(r, response, err)
	attempt.RoundTrip, attempt.Signal = roundTrip, e.signal
	return attempt, response
}

// MeasureRoundTrip opens a connection to learn the round trip and keeps it for later.
func (c *Client) MeasureRoundTrip(ctx context.Context, address netip.AddrPort, timeout time.Duration) (time.Duration, error) {
	connection, roundTrip, err := c.pool.get(ctx, address, timeout)
	if err != nil {
		return 0, err
	}
	connection.uses = 0
	c.pool.put(connection, true, 0)
	return roundTrip, nil
}

// IsConnectionRefused reports whether a connection failed because nothing listens there: the server
// has ended. One that is cut off or overloaded does not answer at all.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CloseIdleConnections closes the idle connections to a server that has started again.
func (c *Client) CloseIdleConnections(address netip.AddrPort) { c.pool.closeIdle(address) }

// newMessage is the request as the server sees it.
func (c *Client) newMessage(r Request) *http.Request {
	header := make(http.Header, len(r.Header)+4)
	CopyHeader(header, r.Header)
	if _, present := header["User-Agent"]; !present {
		// An empty value keeps the library from adding its own name.
		header["User-Agent"] = []string{""}
	}
	timeLeft := max(1, r.Deadline.Sub(c.now()).Milliseconds())
	header.Set(c.headers.Deadline, strconv.FormatInt(timeLeft, 10))
	header.Set(c.headers.InstanceID, r.InstanceID)
	if r.HasAccounts {
		c.setAccount(header, r.Account)
	}
	m := &http.Request{
		Method: r.Method, Host: r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Target},
	}
	if strings.HasPrefix(r.Target, "//") {
		// Opaque text that begins so would be taken for a host.
		path, query, _ := strings.Cut(r.Target, "?")
		m.URL = &url.URL{Scheme: "http", Host: r.Host, RawQuery: query}
		if unescaped, err := url.PathUnescape(path); err == nil {
			m.URL.Path, m.URL.RawPath = unescaped, path
		}
	}
	if len(r.Body) > 0 {
		m.Body = io.NopCloser(bytes.NewReader(r.Body))
		m.ContentLength = int64(len(r.Body))
	}
	return m
}

// setAccount puts the name of the client account in the place of its key. What the caller
// has sent there, in any spelling, goes.
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

// classify says what an exchange means for the request.
func (c *Client) classify(r Request, response *Response, err error) steering.Attempt {
	a := steering.Attempt{Err: err}
	if response == nil {
		a.Result = steering.ResultConnectionLost
		if !c.now().Before(r.Deadline) {
			a.Result = steering.ResultTimeout
		}
		return a
	}
	a.Running, a.Waiting, a.Loaded = parseLoad(response.Header.Get(c.headers.Load))
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		a.Result = steering.ResultWrongServer
	case response.Header.Get(c.headers.NotRun) != "":
		a.Result = steering.ResultRefused
	case response.Status >= http.StatusInternalServerError:
		a.Result = steering.ResultServerError
	default:
		a.Result = steering.ResultAnswered
	}
	a.Rejected = response.Status >= http.StatusBadRequest
	response.Header.Del(c.headers.Load)
	return a
}

func parseLoad(text string) (running, waiting int, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return 0, 0, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return 0, 0, false
	}
	waiting, err = strconv.Atoi(strings.TrimSpace(parts[1]))
	return max(0, running), max(0, waiting), err == nil
}

// run writes the request and reads the answer to it. reusable is set if the
// connection may serve another request.
func (e *exchange) run() (response *Response, reusable bool, err error) {
	if err := e.conn.SetDeadline(e.request.Deadline); err != nil {
		return nil, false, errors.Wrap(err, "deadline")
	}
	written := make(chan error, 1)
	if len(e.request.Body) <= maxInlineBodyBytes {
		if err := e.write(); err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- e.write() }()
	}
	response, closes, err := e.read()
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		reusable = err == nil && !closes && e.conn.reader.Buffered() == 0
	default:
		// The server answered before it read the whole body. What is still
		// due belongs to this request, so the connection cannot serve another.
	}
	return response, reusable, nil
}

func (e *exchange) write() error {
	w := bufio.NewWriterSize(e.conn, bufferSize)
	if err := e.message.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errs.Wrap(w.Flush(), "write request")
}

// read takes in answers until the one that belongs to the request. A server
// may send a second answer to an earlier request where this one's is due; the
// attempt's id tells them apart.
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
		case id == "" && e.conn.isFirstUse():
			// Nothing was sent on this connection before, so there is no
			// other request that the answer could belong to.
			return e.checkSeal(response, closes)
		case id == "":
			response.Release()
			return nil, true, errMissingAttemptID
		}
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
	response, err := e.nextFinalResponse()
	if err != nil {
		return nil, true, errors.Wrap(err, "read answer")
	}
	defer func() { _ = response.Body.Close() }()
	e.recordSignal(response)
	contentLength := response.ContentLength
	if e.request.Method == http.MethodHead {
		// The length is that of the answer to a GET; nothing follows.
		contentLength = 0
	}
	body, err := e.client.memory.Read(response.Body, contentLength, maxResponseBytes)
	if err != nil {
		return nil, true, errors.Wrap(err, "hold answer")
	}
	e.conn.applyKeepAlive(response.Header.Get("Keep-Alive"))
	header := make(http.Header, len(response.Header))
	CopyHeader(header, response.Header)
	return &Response{Status: response.StatusCode, Header: header, Body: body}, response.Close, nil
}

// nextFinalResponse reads the next final response; interim ones are skipped.
func (e *exchange) nextFinalResponse() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, e.message)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		_ = response.Body.Close()
	}
}

// CopyHeader copies the fields that concern the message, not the connection.
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
