package forwardhttp

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// maxPipelined is how many requests of one connection may be in progress or waiting for their
	// turn. At this bound the proxy stops reading from the connection.
	maxPipelined = 8
	// maxReadAheadBytes bounds the bytes that are read from a connection ahead of their turn.
	maxReadAheadBytes = 16 << 10
	// readAheadChunk is how many bytes are read from a connection at once while a request is in
	// progress.
	readAheadChunk = 2 << 10
)

type (
	connectionKey struct{}

	// pipeline lets idempotent requests of one connection run at the same time. net/http stays the
	// parser and keeps the order of the responses: it gets the bytes of one request at a time. What
	// a caller sends behind that request is parsed here, and requests that may be repeated are
	// started before their turn. When net/http reaches such a request, the result is ready or in
	// progress.
	//
	// Only a series of GET requests without bodies runs ahead: requests behind any other wait until
	// it is answered. Requests behind a response that closes the connection count as not read and
	// are sent again, so nothing that must not be repeated may start before its turn.
	pipeline struct {
		conn net.Conn
		// startEarly starts a request before its turn and returns nil if it may not.
		startEarly func(context.Context, *http.Request) *earlyRequest
		// mayRunAhead reports whether requests behind this one may start before it is answered.
		mayRunAhead func(*http.Request) bool
		// heads is the memory for requests before their turn. It is nil if that is not limited.
		heads  *bodies.MemoryBudget
		ctx    context.Context
		cancel context.CancelFunc
		// gone is the error of a connection that the caller has closed. Only Read uses it.
		gone error

		mu sync.Mutex
		// received holds the bytes that net/http has not read yet. Only Read changes it.
		received []byte
		// requests are the requests that net/http has not answered, in order. unread is the sum of
		// their unread bytes.
		requests []*pipelinedRequest
		unread   int64
		// headStart is the part of an incomplete head that net/http has read already.
		headStart []byte
		// opaque is set once the bytes behind the last request can't or need not be parsed. They
		// are passed to net/http as they come.
		opaque bool
		// closed is set once the connection is closed or the current response will close it.
		closed bool
		// streaming is set while the current response is passed on as it arrives. If its server breaks
		// it off, the connection must be closed, so no request behind it may be in progress.
		streaming bool
	}

	pipelinedRequest struct {
		// unread is the number of bytes that net/http has not read yet.
		unread int64
		// request is set once it is known; simple is set for a GET request without a body.
		request *http.Request
		simple  bool
		// answered is set once the handler has returned.
		answered bool
		// early is set if the request was started before its turn.
		early *earlyRequest
		// memory is reserved for a request that was read before its turn.
		memory *bodies.Reservation
	}

	// earlyRequest is a request that was started before its turn.
	earlyRequest struct {
		done   chan struct{}
		result result
		// started is set unless a new configuration has forbidden the start in the meantime. It is
		// valid once done is closed.
		started bool
		// taken is set once the handler has the result, or the connection is closed.
		taken bool
	}
)

// withConnection makes the connection of a request available to its handler.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// pipelineOf returns the pipeline of a request's connection, or nil.
func pipelineOf(ctx context.Context) *pipeline {
	if c, ok := ctx.Value(connectionKey{}).(*trackedConn); ok {
		return c.pipeline
	}
	return nil
}

// connectionUses returns how many requests the connection of a request has carried, including this one.
func connectionUses(ctx context.Context) int {
	if c, ok := ctx.Value(connectionKey{}).(*trackedConn); ok {
		return int(c.requestCount.Load())
	}
	return 0
}

// EnablePipelining lets the idempotent requests of each connection of l run at the same time. It
// must be called before the first Accept.
func (s *Server) EnablePipelining(l *Listener) {
	l.newPipeline = func(c net.Conn) *pipeline {
		ctx, cancel := context.WithCancel(s.Requests)
		return &pipeline{conn: c, startEarly: s.startEarly, mayRunAhead: s.isRepeatable, heads: s.HeadMemory, ctx: ctx, cancel: cancel}
	}
}

// wait returns the result of the request. It reports false if the request was not started and must
// run in its turn. e may be nil.
func (e *earlyRequest) wait() (result, bool) {
	if e == nil {
		return result{}, false
	}
	<-e.done
	return e.result, e.started
}

// Read implements io.Reader. It returns bytes of one request only. While that request is in
// progress, net/http waits here for the caller to disconnect, and the requests behind it are read
// ahead.
func (p *pipeline) Read(b []byte) (int, error) {
	for {
		if p.gone != nil {
			return 0, p.gone
		}
		n, direct := p.next(b)
		if n > 0 {
			return n, nil
		}
		if direct {
			n, err := p.conn.Read(b)
			if n > 0 {
				return p.accept(b[:n]), nil
			}
			return 0, p.fail(err)
		}
		if err := p.readAhead(); err != nil {
			return 0, p.fail(err)
		}
	}
}

// next copies bytes that net/http may have now to b. If there are none, direct reports whether it
// may have those that arrive next.
func (p *pipeline) next(b []byte) (n int, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropAnswered()
	limit := int64(len(b))
	switch {
	case len(p.requests) == 0:
	case p.requests[0].unread > 0:
		limit = min(limit, p.requests[0].unread)
	case len(p.received) > 0 && (p.opaque || len(p.requests) >= maxPipelined || len(p.received) >= maxReadAheadBytes):
		// A byte of the next request ends the wait of net/http, which then reads no further.
		limit = 1
	default:
		return 0, false
	}
	if len(p.received) == 0 {
		return 0, true
	}
	n = copy(b[:limit], p.received)
	p.consume(p.received[:n])
	p.received = slices.Delete(p.received, 0, n)
	if len(p.received) == 0 {
		p.received = nil
	}
	return n, false
}

// dropAnswered removes the requests that are answered, which makes room for those behind them.
func (p *pipeline) dropAnswered() {
	dropped := 0
	for dropped < len(p.requests) && p.requests[dropped].answered && p.requests[dropped].unread == 0 {
		dropped++
	}
	if dropped == 0 {
		return
	}
	for _, r := range p.requests[:dropped] {
		r.memory.Release()
	}
	p.requests = slices.Delete(p.requests, 0, dropped)
	p.parse()
	p.startRequests()
}

// consume counts bytes that net/http reads.
func (p *pipeline) consume(b []byte) {
	for _, r := range p.requests {
		n := min(r.unread, int64(len(b)))
		r.unread -= n
		p.unread -= n
		b = b[n:]
	}
	if len(b) > 0 && !p.opaque {
		p.headStart = append(p.headStart, b...)
	}
}

// accept takes bytes that were read into net/http's buffer, keeps those behind the current request,
// and returns how many net/http may have.
func (p *pipeline) accept(b []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.requests) > 0 && p.requests[0].unread > 0 && int64(len(b)) <= p.requests[0].unread {
		p.consume(b)
		return len(b)
	}
	p.received = b
	p.parse()
	n := len(b)
	if len(p.requests) > 0 {
		n = int(min(int64(n), p.requests[0].unread))
	}
	p.consume(b[:n])
	p.received = nil
	if n < len(b) {
		p.received = slices.Clone(b[n:])
	}
	p.startRequests()
	return n
}

// readAhead reads bytes while a request is in progress. The first one is read alone: most callers
// send nothing then, and need no buffer.
func (p *pipeline) readAhead() error {
	var first [1]byte
	buffer := first[:]
	p.mu.Lock()
	if len(p.received) > 0 {
		buffer = make([]byte, readAheadChunk)
	}
	p.mu.Unlock()
	n, err := p.conn.Read(buffer)
	if n == 0 {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = append(p.received, buffer[:n]...)
	p.parse()
	p.startRequests()
	return nil
}

// fail cancels the requests in progress if the caller has disconnected. The requests behind them
// are not run any more.
func (p *pipeline) fail(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		p.gone = err
		p.cancel()
	}
	return err
}

// parse finds the requests in the bytes behind the known ones. p.mu must be held.
func (p *pipeline) parse() {
	for !p.opaque && len(p.requests) < maxPipelined && p.unread < int64(len(p.received)) {
		text := p.received[p.unread:]
		if len(p.headStart) > 0 {
			text = append(slices.Clone(p.headStart), text...)
		}
		head, outcome := parseHead(text)
		switch outcome {
		case headIncomplete:
			p.opaque = len(text) >= maxReadAheadBytes
			return
		case headUnsupported:
			p.opaque = true
			return
		}
		r := &pipelinedRequest{unread: int64(head.length-len(p.headStart)) + head.bodyLength, simple: head.simple}
		if len(p.requests) > 0 && head.simple && p.reserve(r, text[:head.length]) {
			request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text[:head.length])))
			if err != nil || request.Host == "" {
				r.memory.Release()
				p.opaque = true
				return
			}
			request.RemoteAddr = p.conn.RemoteAddr().String()
			r.request = request
		}
		p.requests, p.unread, p.headStart = append(p.requests, r), p.unread+r.unread, nil
		p.opaque = head.closes
	}
}

// reserve reserves memory for a request before its turn. Without memory it is read in its turn only.
func (p *pipeline) reserve(r *pipelinedRequest, head []byte) bool {
	if p.heads == nil {
		return true
	}
	r.memory = p.heads.NewReservation()
	return r.memory.TryGrow(earlyRequestMemory + sizeOf(head).memory())
}

// isFramed reports whether net/http gets the bytes of one request at a time. p may be nil.
func (p *pipeline) isFramed() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.opaque
}

// startRequests starts the requests that may run before their turn. p.mu must be held.
func (p *pipeline) startRequests() {
	if len(p.requests) < 2 || p.closed || p.streaming {
		return
	}
	for i, r := range p.requests {
		switch {
		case r.early != nil || r.answered:
		case !r.simple || r.request == nil:
			return
		case i == 0:
			if !p.mayRunAhead(r.request) {
				return
			}
		default:
			if r.early = p.startEarly(p.ctx, r.request); r.early == nil {
				return
			}
		}
	}
}

// beginTurn is called when net/http has reached a request. It returns the request if it was started
// before.
func (p *pipeline) beginTurn(r *http.Request) *earlyRequest {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.current()
	switch {
	case current == nil:
		return nil
	case current.early != nil && current.request.RequestURI == r.RequestURI:
		current.early.taken = true
		return current.early
	case current.simple && r.ContentLength != 0:
		// net/http sees a body where none was found, so what follows is not known.
		p.opaque = true
		return nil
	}
	current.request = r
	p.startRequests()
	return nil
}

// endTurn is called when a request is answered.
func (p *pipeline) endTurn() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.current(); current != nil {
		current.answered = true
	}
	p.streaming = false
}

// current returns the request that net/http has reached, or nil if it is not known.
func (p *pipeline) current() *pipelinedRequest {
	for _, r := range p.requests {
		if !r.answered {
			return r
		}
	}
	return nil
}

// mayClose reports whether the current response may close the connection: no request behind it has
// been started. None will be then.
func (p *pipeline) mayClose() bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasStarted() {
		return false
	}
	p.closed = true
	return true
}

// beginStream reports whether the current response may be passed on while it arrives: no request behind
// it has been started. None will be until its turn ends.
func (p *pipeline) beginStream() bool {
	if p == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasStarted() {
		return false
	}
	p.streaming = true
	return true
}

// hasStarted reports whether a request behind the current one has been started. p.mu must be held.
func (p *pipeline) hasStarted() bool {
	return slices.ContainsFunc(p.requests, func(r *pipelinedRequest) bool { return r.early != nil && !r.early.taken })
}

// hasStartedCurrent reports whether the request that net/http reads or serves was started before its turn. p may
// be nil.
func (p *pipeline) hasStartedCurrent() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.current()
	return current != nil && current.early != nil
}

// isRunning reports whether a request of the connection that net/http has not reached has been started. p may be
// nil.
func (p *pipeline) isRunning() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasStarted()
}

// stopStarting prevents further starts because the current response closes the connection.
func (p *pipeline) stopStarting() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// hasUnread reports whether bytes of the caller have been received that net/http has not read.
func (p *pipeline) hasUnread() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received) > 0
}

// close cancels the requests that were started and will not be answered, and releases their
// responses.
func (p *pipeline) close() {
	if p == nil {
		return
	}
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.requests {
		if r.early == nil || r.early.taken {
			r.memory.Release()
		}
		if e := r.early; e != nil && !e.taken {
			e.taken = true
			go func() {
				done, _ := e.wait()
				done.response.Release()
				r.memory.Release()
			}()
		}
	}
}

// startEarly starts a request before its turn. It returns nil if the request must not be repeated,
// or if the proxy is shutting down.
func (s *Server) startEarly(ctx context.Context, r *http.Request) *earlyRequest {
	if s.IsStopping() || !s.isRepeatable(r) {
		return nil
	}
	e, receivedAt := &earlyRequest{done: make(chan struct{})}, s.Now()
	go func() {
		defer close(e.done)
		e.result, e.started = s.forward(ctx, r, forwardOptions{body: &bodies.Body{}, receivedAt: receivedAt, onlyIfRepeatable: true})
	}()
	return e
}

// isRepeatable reports whether the route of a request allows it to run more than once.
func (s *Server) isRepeatable(r *http.Request) (repeatable bool) {
	s.WithKernel(func(k *steering.Kernel, _ time.Time) { repeatable = routeAllowsRepeats(k, r) })
	return repeatable
}

// routeAllowsRepeats reports whether the route of a request is idempotent.
func routeAllowsRepeats(k *steering.Kernel, r *http.Request) bool {
	t := k.Table()
	if t == nil {
		return false
	}
	route := t.Match(hostWithoutPort(r.Host), pathAsSent(r))
	return route != nil && route.Idempotent
}
