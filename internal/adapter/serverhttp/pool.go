package serverhttp

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultKeepAlive is how long an idle connection is used if the server names
	// no time of its own. Servers commonly close idle ones after ten seconds.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is taken off the time a server names: a request that crosses
	// the server's close may have run.
	keepAliveMargin = time.Second
	// maxIdleConnections bounds the idle connections to one server.
	maxIdleConnections = 8
	// sweepInterval is how often idle connections that ran out are closed.
	sweepInterval = 2 * time.Second
	// tcpUserTimeout is how long sent bytes may stay without an acknowledgement.
	// A connection that has gone silent shows no other sign.
	tcpUserTimeout = 700 * time.Millisecond
)

type (
	pool struct {
		mu      sync.Mutex
		idle    map[netip.AddrPort][]*conn
		now     func() time.Time
		onOpen  func()
		dialer  net.Dialer
		sweptAt time.Time
	}

	// conn is a connection to a server, used by one request at a time.
	conn struct {
		net.Conn
		reader    *bufio.Reader
		address   netip.AddrPort
		uses      int
		expires   time.Time
		keepAlive time.Duration
	}
)

func newPool(now func() time.Time, onOpen func()) *pool {
	return &pool{
		idle: make(map[netip.AddrPort][]*conn), now: now, onOpen: onOpen,
		dialer: net.Dialer{Control: setTCPUserTimeout, KeepAlive: -1},
	}
}

// setTCPUserTimeout makes the system report a peer that has fallen silent.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// get takes an idle connection or opens one. The time that the opening took
// is returned with a new one.
func (p *pool) get(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*conn, time.Duration, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if p.now().Before(c.expires) && c.isReusable() {
			c.uses++
			return c, 0, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt := p.now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, 0, errors.Wrap(err, "connect")
	}
	p.onOpen()
	c := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), address: address, uses: 1, keepAlive: defaultKeepAlive}
	return c, p.now().Sub(startedAt), nil
}

// popIdle removes the idle connection that was used last.
func (p *pool) popIdle(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put takes a connection back. most bounds the idle ones to the server, if it is
// not zero.
func (p *pool) put(c *conn, reusable bool, maxIdle int) {
	if !reusable {
		_ = c.Close()
		return
	}
	now := p.now()
	c.expires = now.Add(c.keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if maxIdle <= 0 {
		maxIdle = maxIdleConnections
	}
	list := p.idle[c.address]
	for len(list) >= min(maxIdle, maxIdleConnections) {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.address] = append(list, c)
}

// closeIdle closes the idle connections to a server. One that has started again knows
// nothing of them, and a cut may hide that for as long as it lasts.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// sweep closes the connections that have been idle for too long, also those
// to servers that are gone. The lock is held.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for address, list := range p.idle {
		for len(list) > 0 && !now.Before(list[0].expires) {
			_ = list[0].Close()
			list = list[1:]
		}
		p.idle[address] = list
		if len(list) == 0 {
			delete(p.idle, address)
		}
	}
}

func (c *conn) isFirstUse() bool { return c.uses == 1 }

func (c *conn) abort() { _ = c.Close() }

// isReusable reports whether nothing waits to be read. An idle connection has no
// answer due: bytes are a stray answer, and an end means that the server has
// closed.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(recvErr, unix.EAGAIN)
	})
	return err == nil && reusable
}

// applyKeepAlive takes in the server's own word on how long it keeps the connection.
func (c *conn) applyKeepAlive(header string) {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			c.keepAlive = max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
}
