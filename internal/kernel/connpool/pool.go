// Package connpool keeps the idle connections to servers and chooses the one that carries a request.
// It opens no connections.
package connpool

import (
	"hash/maphash"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxIdle limits the idle connections to one server.
	maxIdle = 8
	// maxUses is how many requests a connection carries before it is closed. It bounds the memory
	// for their attempt IDs to 4 KB.
	maxUses = 512
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
)

var (
	hashSeed = maphash.MakeSeed()
)

type (
	// Pool holds the idle connections to servers and counts the open ones. It is safe for concurrent
	// use.
	Pool[T io.Closer] struct {
		mu      sync.Mutex
		idle    map[netip.AddrPort][]*Conn[T]
		open    map[netip.AddrPort]int
		sweptAt time.Time
	}

	// Conn is a connection to a server. It carries one request at a time.
	Conn[T io.Closer] struct {
		Transport T
		Address   netip.AddrPort
		// KeepAlive is how long the connection may be idle.
		KeepAlive time.Duration

		expires time.Time
		// carried holds the hashes of the attempt IDs of all requests that were sent.
		carried []uint64
	}
)

// New returns an empty pool.
func New[T io.Closer]() *Pool[T] {
	return &Pool[T]{idle: make(map[netip.AddrPort][]*Conn[T]), open: make(map[netip.AddrPort]int)}
}

// Take removes and returns the most recently used idle connection to a server that has not carried a
// request with the given attempt ID. On one that has, a late duplicate of that request's response could
// not be distinguished from the response to this one.
//
// If there is none, it returns nil, and the caller may open a connection. A positive limit is the
// number of connections that may be open then: an idle one is closed if it would be exceeded.
func (p *Pool[T]) Take(now time.Time, address netip.AddrPort, attempt string, limit int) *Conn[T] {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.take(now, address, func(c *Conn[T]) bool { return !c.hasCarried(attempt) })
	if list := p.idle[address]; c == nil && len(list) > 0 && limit > 0 && p.open[address] >= limit {
		p.close(list[0])
		p.idle[address] = slices.Delete(list, 0, 1)
	}
	return c
}

// TakeAny removes and returns the most recently used idle connection to a server, or nil. No request
// may be sent on it.
func (p *Pool[T]) TakeAny(now time.Time, address netip.AddrPort) *Conn[T] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(now, address, func(*Conn[T]) bool { return true })
}

// take removes and returns the most recently used idle connection for which accepts returns true, or
// nil. p.mu must be held.
func (p *Pool[T]) take(now time.Time, address netip.AddrPort, accepts func(*Conn[T]) bool) *Conn[T] {
	p.closeExpired(now, address)
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; accepts(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Add counts a new connection, which is in use.
func (p *Pool[T]) Add(transport T, address netip.AddrPort, keepAlive time.Duration) *Conn[T] {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]++
	return &Conn[T]{Transport: transport, Address: address, KeepAlive: keepAlive}
}

// Put makes a connection idle. A positive limit is the number of connections that may be idle.
func (p *Pool[T]) Put(now time.Time, c *Conn[T], limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if len(c.carried) >= maxUses {
		p.close(c)
		return
	}
	c.expires = now.Add(c.KeepAlive)
	if limit <= 0 {
		limit = maxIdle
	}
	list := p.idle[c.Address]
	for len(list) >= min(limit, maxIdle) {
		p.close(list[0])
		list = slices.Delete(list, 0, 1)
	}
	p.idle[c.Address] = append(list, c)
}

// Discard closes a connection that is in use.
func (p *Pool[T]) Discard(c *Conn[T]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// CloseIdle closes the idle connections to a server.
func (p *Pool[T]) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.close(c)
	}
	delete(p.idle, address)
}

// sweep closes all expired idle connections, including those to servers that are gone. p.mu must be
// held.
func (p *Pool[T]) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address := range p.idle {
		p.closeExpired(now, address)
	}
}

// closeExpired closes the expired idle connections to a server. p.mu must be held.
func (p *Pool[T]) closeExpired(now time.Time, address netip.AddrPort) {
	list := slices.DeleteFunc(p.idle[address], func(c *Conn[T]) bool {
		expired := !now.Before(c.expires)
		if expired {
			p.close(c)
		}
		return expired
	})
	p.idle[address] = list
	if len(list) == 0 {
		delete(p.idle, address)
	}
}

// close closes a connection. p.mu must be held.
func (p *Pool[T]) close(c *Conn[T]) {
	_ = c.Transport.Close()
	if p.open[c.Address]--; p.open[c.Address] <= 0 {
		delete(p.open, c.Address)
	}
}

// Begin records that a request is sent on the connection. An empty ID is one like any other.
func (c *Conn[T]) Begin(attempt string) {
	c.carried = append(c.carried, maphash.String(hashSeed, attempt))
}

// Uses returns how many requests were sent on the connection.
func (c *Conn[T]) Uses() int { return len(c.carried) }

func (c *Conn[T]) hasCarried(attempt string) bool {
	return len(c.carried) > 0 && slices.Contains(c.carried, maphash.String(hashSeed, attempt))
}
