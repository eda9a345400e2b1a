package forwardhttp

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
)

const (
	// activityEvicted is the activity of a connection that has been evicted. It does not change any more.
	activityEvicted = -1
)

type (
	// candidate is a connection that may be evicted, and its activity when it was considered.
	candidate struct {
		conn     *trackedConn
		activity int32
	}
)

// Evict closes the connection of a client that has stalled, and reports whether there was one.
func (l *Listener) Evict(p eviction.Purpose) bool {
	c := l.chooseVictim(p)
	if c == nil {
		return false
	}
	l.onEvict()
	klog.V(1).InfoS("connection closed to make room for others", "client", c.RemoteAddr().String())
	c.evict()
	return true
}

// AttachBodies lets an HTTP server report the state of its connections. Its handlers read bodies through ReadBody.
func (l *Listener) AttachBodies(server *http.Server, patience eviction.Patience) {
	server.ConnState, server.ConnContext, l.patience = l.RecordState, withConnection, patience
}

// ReadBody calls read, which reads the body of a request, and records that on the request's connection.
func ReadBody[B any](r *http.Request, read func() (B, error)) (B, error) {
	beginActivity(r.Context(), eviction.ReadingBody)
	body, err := read()
	if err == nil {
		beginActivity(r.Context(), eviction.Serving)
	}
	return body, err
}

// AbortIfEvicted ends the handler of a request that was read while its connection was being evicted: it must not
// run, as its client sees it unread.
func AbortIfEvicted(r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*trackedConn); ok && c.activity.Load() == activityEvicted {
		panic(http.ErrAbortHandler)
	}
}

// Attach lets an HTTP server report the state of its connections, and sets the limits that it lacks. It is for
// servers whose requests have no bodies: none is read, and a connection is closed behind one.
func (l *Listener) Attach(server *http.Server) {
	server.ConnState = l.RecordState
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, maxHeaderBytes)
	server.ReadTimeout = cmp.Or(server.ReadTimeout, shortTimeout)
	server.WriteTimeout = cmp.Or(server.WriteTimeout, shortTimeout)
	server.ConnContext = withConnection
	l.patience = eviction.ShortPatience
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			respondAndClose(w, r, func(w http.ResponseWriter) { handler.ServeHTTP(w, r) })
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// chooseVictim returns a connection to close and no longer counts it, or returns nil.
func (l *Listener) chooseVictim(p eviction.Purpose) *trackedConn {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.noVictimUntil[p]) {
		return nil
	}
	choice := eviction.NewChoice[candidate](now, l.patience, p)
	considered := 0
	for c := range l.connections {
		if considered++; considered > evictionSample && choice.Found() {
			break
		}
		if c.pipeline.isRunning() {
			continue
		}
		activity := c.activity.Load()
		choice.Consider(candidate{c, activity}, eviction.Connection{Activity: eviction.Activity(activity), ProgressAt: l.startedAt.Add(time.Duration(c.progressAt.Load()))})
	}
	best, found, next := choice.Best()
	if !found {
		// A search takes time, and a crowd asks for one with each connection.
		l.noVictimUntil[p] = now.Add(min(max(next, minEvictionPause), maxEvictionPause))
		return nil
	}
	if !best.conn.activity.CompareAndSwap(best.activity, activityEvicted) {
		// The client went on in the meantime.
		return nil
	}
	l.openCount.Add(-1)
	delete(l.connections, best.conn)
	return best.conn
}

// evict closes the connection without waiting for the client. The HTTP server notices that.
func (c *trackedConn) evict() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	c.meter.release()
	c.messages.reset()
}

// begin records what the connection is doing from now on, unless it has been evicted, and returns what it was
// doing.
func (c *trackedConn) begin(a eviction.Activity) (before eviction.Activity) {
	c.progress.Store(0)
	c.progressAt.Store(int64(time.Since(c.listener.startedAt)))
	for {
		before := c.activity.Load()
		if before == activityEvicted || c.activity.CompareAndSwap(before, int32(a)) {
			return eviction.Activity(before)
		}
	}
}

// recordRead records bytes that the client has sent.
func (c *trackedConn) recordRead(n int) {
	switch eviction.Activity(c.activity.Load()) {
	case eviction.Idle:
		if n > 0 {
			c.begin(eviction.AwaitingHead)
		}
	case eviction.ReadingBody:
		c.recordProgress(n)
	case eviction.AwaitingHead:
		if c.messages != nil {
			c.recordProgress(n)
		}
	}
}

func (c *trackedConn) recordProgress(n int) {
	if c.progress.Add(int64(n)) >= eviction.MinProgress {
		c.progress.Store(0)
		c.progressAt.Store(int64(time.Since(c.listener.startedAt)))
	}
}

// beginActivity records what the connection of a request is doing from now on.
func beginActivity(ctx context.Context, a eviction.Activity) {
	if c, ok := ctx.Value(connectionKey{}).(*trackedConn); ok {
		c.begin(a)
	}
}
