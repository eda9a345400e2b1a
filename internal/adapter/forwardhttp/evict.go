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

// Evict closes the connection of a client that has stalled, and reports whether there was one.
func (l *Listener) Evict(p eviction.Purpose) bool {
	c := l.chooseVictim(p)
	if c == nil {
		return false
	}
	l.onEvict()
	klog.V(1).InfoS("connection closed to make room for others", "client", c.RemoteAddr().String(), "activity", c.activity.Load())
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
	choice := eviction.NewChoice[*trackedConn](now, l.patience, p)
	considered := 0
	for c := range l.connections {
		if considered++; considered > evictionSample && choice.Found() {
			break
		}
		choice.Consider(c, eviction.Connection{Activity: eviction.Activity(c.activity.Load()), ProgressAt: l.startedAt.Add(time.Duration(c.progressAt.Load()))})
	}
	c, found, next := choice.Best()
	if !found {
		// A search takes time, and a crowd asks for one with each connection.
		l.noVictimUntil[p] = now.Add(min(max(next, minEvictionPause), maxEvictionPause))
		return nil
	}
	l.openCount.Add(-1)
	delete(l.connections, c)
	return c
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

// begin records what the connection is doing from now on, and returns what it was doing.
func (c *trackedConn) begin(a eviction.Activity) eviction.Activity {
	c.progress.Store(0)
	c.progressAt.Store(int64(time.Since(c.listener.startedAt)))
	return eviction.Activity(c.activity.Swap(int32(a)))
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
