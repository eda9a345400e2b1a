package peerdrpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	connectionIdleTimeout = time.Minute
	maxPooledConnections  = 256
	maxPooledPerPeer      = 8
	dialTimeout           = time.Second
	callTimeout           = time.Second
	handoverTimeout       = 5 * time.Second
)

type (
	// Client calls other proxies over pooled connections.
	Client struct {
		pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
		// TLS returns the current client configuration, or nil for plain TCP.
		TLS func() *tls.Config
		// CountBytes returns the functions that are called with the number of bytes of each write to
		// a peer and of each read from it. It may be nil.
		CountBytes func(netip.AddrPort) (sent, received func(int))
	}

	countedConn struct {
		net.Conn
		sent, received func(int)
	}
)

// NewClient returns a client. config returns the current TLS configuration, or nil for plain TCP.
func NewClient(config func() *tls.Config) *Client {
	return &Client{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration: connectionIdleTimeout, Capacity: maxPooledConnections, KeyCapacity: maxPooledPerPeer,
		}),
		TLS: config,
	}
}

// Close closes all pooled connections.
func (c *Client) Close() error { return errs.Wrap(c.pool.Close(), "close connection pool") }

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent(n)
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received(n)
	return n, err
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	if c.CountBytes != nil {
		counted := &countedConn{Conn: conn}
		counted.sent, counted.received = c.CountBytes(address)
		conn = counted
	}
	if config := c.TLS(); config != nil {
		// The peer's certificate must be valid for the IP address that was dialed.
		config = config.Clone()
		config.ServerName = address.Addr().String()
		secure := tls.Client(conn, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "TLS handshake with peer")
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) peerClient(ctx context.Context, m peer.Member) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, m.PeerAddress, c.dial))
}

// Exchange sends the sender's state versions and updates to a peer and returns the peer's.
func (c *Client) Exchange(ctx context.Context, to peer.Member, e peer.Exchange) (peer.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.peerClient(ctx, to).Exchange(ctx, encodeExchange(e))
	if err != nil {
		return peer.Exchange{}, errors.Wrap(err, "exchange")
	}
	return decodeExchange(out)
}

// Borrow requests a loan of quota from a peer, or the renewal of one.
func (c *Client) Borrow(ctx context.Context, to peer.Member, r peer.BorrowRequest) (peer.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := c.peerClient(ctx, to).Borrow(ctx, &peerpb.BorrowRequest{
		From:     r.From,
		Stamp:    encodeStamp(r.Stamp),
		Resource: string(r.Resource),
		Want:     int64(r.Want),
		Renew:    uint64(r.Renew),
	})
	if err != nil {
		return peer.BorrowReply{}, errors.Wrap(err, "borrow quota")
	}
	return peer.BorrowReply{
		Stamp:  decodeStamp(out.GetStamp()),
		Loan:   peer.LoanID(out.GetLoan()),
		Amount: int(out.GetAmount()),
	}, nil
}

// Forward forwards a request to the proxy that minted its token. The context carries the deadline
// of the request.
func (c *Client) Forward(ctx context.Context, to peer.Member, f peer.ForwardRequest) (peer.ForwardReply, error) {
	out, err := c.peerClient(ctx, to).Forward(ctx, encodeForwardRequest(f))
	if err != nil {
		return peer.ForwardReply{}, errors.Wrap(err, "forward request")
	}
	return decodeForwardReply(out), nil
}

// Handover transfers token records to a peer.
func (c *Client) Handover(ctx context.Context, to peer.Member, h peer.HandoverRequest) (peer.Stamp, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	out, err := c.peerClient(ctx, to).Handover(ctx, encodeHandover(h))
	if err != nil {
		return peer.Stamp{}, errors.Wrap(err, "hand over records")
	}
	return decodeStamp(out.GetStamp()), nil
}
