package serverhttp

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the server sends no Keep-Alive
	// timeout. Servers commonly close idle connections after ten seconds.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is subtracted from the server's Keep-Alive timeout: if a request races with
	// the close by the server, it is unknown whether the request ran.
	keepAliveMargin = time.Second
	// maxIdleConnections limits the idle connections to one server.
	maxIdleConnections = 8
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
	// tcpUserTimeout is how long sent data may remain unacknowledged. There is no other sign of a
	// peer that silently became unreachable.
	tcpUserTimeout = 700 * time.Millisecond
)

type (
	pool struct {
		mu      sync.Mutex
		idle    map[netip.AddrPort][]*conn
		now     func() time.Time
		onOpen  func()
		onSent  func(int)
		dialer  net.Dialer
		sweptAt time.Time
		// opened counts the connections that were opened.
		opened atomic.Uint64
	}

	// conn is a connection to a server. It carries one request at a time.
	conn struct {
		net.Conn
		// number is unique among the connections of the pool.
		number    uint64
		reader    *bufio.Reader
		address   netip.AddrPort
		onSent    func(int)
		uses      int
		expires   time.Time
		keepAlive time.Duration
	}
)

func newPool(now func() time.Time, onOpen func()) *pool {
	return &pool{
		idle: make(map[netip.AddrPort][]*conn), now: now, onOpen: onOpen, onSent: func(int) {},
		dialer: net.Dialer{Control: setTCPUserTimeout, KeepAlive: -1},
	}
}

// setTCPUserTimeout makes the operating system close connections to unresponsive peers.
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

// get returns an idle connection, or opens a new one and returns the time that this took.
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
	return p.open(ctx, address)
}

// open opens a new connection and returns the time that this took.
func (p *pool) open(ctx context.Context, address netip.AddrPort) (*conn, time.Duration, error) {
	startedAt := p.now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, 0, errors.Wrap(err, "connect")
	}
	p.onOpen()
	c := &conn{Conn: raw, number: p.opened.Add(1), reader: bufio.NewReaderSize(raw, bufferSize), address: address, onSent: p.onSent, uses: 1, keepAlive: defaultKeepAlive}
	return c, p.now().Sub(startedAt), nil
}

// popIdle removes and returns the most recently used idle connection.
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

// put returns a connection to the pool. A positive maxIdle limits the idle connections to the
// server.
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

// closeIdle closes the idle connections to a server. A restarted server does not know them, and a
// network partition may hide that for as long as it lasts.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// sweep closes expired idle connections, including those to servers that are gone. p.mu must be
// held.
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

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.onSent(n)
	return n, err
}

func (c *conn) abort() { _ = c.Close() }

// isReusable reports whether an idle connection is open and has no unread data. No response is
// expected on it: data would be a stray response, and EOF means that the server has closed it.
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

// applyKeepAlive applies the timeout of the server's Keep-Alive header.
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
