package serverhttp

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/gypsumquay/gypsumquay/internal/kernel/connpool"
)

const (
	// defaultKeepAlive is how long an idle connection is kept if the server sends no Keep-Alive
	// timeout. Servers commonly close idle connections after ten seconds.
	defaultKeepAlive = 8 * time.Second
	// keepAliveMargin is subtracted from the server's Keep-Alive timeout: if a request races with
	// the close by the server, it is unknown whether the request ran.
	keepAliveMargin = time.Second
	// tcpUserTimeout is how long sent data may remain unacknowledged. There is no other sign of a
	// peer that silently became unreachable.
	tcpUserTimeout = 700 * time.Millisecond
)

type (
	// pool opens connections to servers and reuses idle ones.
	pool struct {
		connections *connpool.Pool[*conn]
		now         func() time.Time
		onOpen      func()
		onSent      func(int)
		dialer      net.Dialer
		// opened counts the connections that were opened.
		opened atomic.Uint64
	}

	pooledConn = connpool.Conn[*conn]

	// conn is a connection to a server.
	conn struct {
		net.Conn
		// number is unique among the connections of the pool.
		number uint64
		head   headLimiter
		reader *bufio.Reader
		onSent func(int)
	}
)

func newPool(now func() time.Time, onOpen func()) *pool {
	return &pool{
		connections: connpool.New[*conn](), now: now, onOpen: onOpen, onSent: func(int) {},
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

// get returns an idle connection for an attempt, or opens a new one and returns the time that this
// took. A positive limit is the number of connections to the server that may be open.
func (p *pool) get(ctx context.Context, address netip.AddrPort, attempt string, limit int, timeout time.Duration) (*pooledConn, time.Duration, error) {
	return p.getOrOpen(ctx, address, timeout, func() *pooledConn { return p.connections.Take(p.now(), address, attempt, limit) })
}

// getAny is like get for a connection on which nothing is sent.
func (p *pool) getAny(ctx context.Context, address netip.AddrPort, timeout time.Duration) (*pooledConn, time.Duration, error) {
	return p.getOrOpen(ctx, address, timeout, func() *pooledConn { return p.connections.TakeAny(p.now(), address) })
}

func (p *pool) getOrOpen(ctx context.Context, address netip.AddrPort, timeout time.Duration, take func() *pooledConn) (*pooledConn, time.Duration, error) {
	for c := take(); c != nil; c = take() {
		if c.Transport.isReusable() {
			return c, 0, nil
		}
		p.connections.Discard(c)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.open(ctx, address)
}

// open opens a new connection and returns the time that this took.
func (p *pool) open(ctx context.Context, address netip.AddrPort) (*pooledConn, time.Duration, error) {
	startedAt := p.now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, 0, errors.Wrap(err, "connect")
	}
	p.onOpen()
	c := &conn{Conn: raw, number: p.opened.Add(1), head: headLimiter{Reader: raw}, onSent: p.onSent}
	c.reader = bufio.NewReaderSize(&c.head, bufferSize)
	return p.connections.Add(c, address, defaultKeepAlive), p.now().Sub(startedAt), nil
}

// put returns a connection to the pool, or closes it. A positive limit is the number of connections to
// the server that may be idle.
func (p *pool) put(c *pooledConn, reusable bool, limit int) {
	if !reusable {
		p.connections.Discard(c)
		return
	}
	p.connections.Put(p.now(), c, limit)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.onSent(n)
	return n, err
}

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

// parseKeepAlive returns how long a connection may be idle according to the server's Keep-Alive header,
// or fallback if the header has no timeout.
func parseKeepAlive(header string, fallback time.Duration) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return fallback
}
