package peerdrpc

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// MaxMessageBytes limits the size of one message. The largest are handovers.
	MaxMessageBytes = 16 << 20
)

type (
	// Handlers handles the calls of peers. Each field calls the kernel method of the same purpose
	// under the driver's lock, except for Forward, which serves a whole request.
	Handlers struct {
		Exchange func(peer.Exchange) peer.Exchange
		Borrow   func(peer.BorrowRequest) peer.BorrowReply
		Forward  func(context.Context, peer.ForwardRequest) peer.ForwardReply
		Handover func(peer.HandoverRequest) peer.Stamp
	}

	// SyncHandlers handles the calls of peers that replicate the platform's store.
	SyncHandlers struct {
		// Sync merges a peer's changes to the store and returns those that the peer lacks.
		Sync func(SyncMessage) SyncMessage
		// RequestSlot handles a request for a slot of a server whose limiter this proxy owns, and
		// ReleaseSlot the return of such a slot. HandleSlotReply handles the decision on a slot
		// request of this proxy.
		RequestSlot     func(steering.SlotRequest) steering.SlotReply
		ReleaseSlot     func(steering.SlotRelease)
		HandleSlotReply func(steering.SlotReply)
		// ReportLimits handles a report to the quota pool that this proxy runs, and TakeToken a
		// request for one token of an account.
		ReportLimits func(ratelimit.Report) ratelimit.Grants
		TakeToken    func(account string) ratelimit.TokenReply
		// Now returns the time to which the relative times of messages are added.
		Now func() time.Time
	}

	peerService struct {
		handlers Handlers
	}
)

// Serve handles the calls of peers until the context is done.
func Serve(ctx context.Context, listener net.Listener, h Handlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerService{handlers: h}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	return serveMux(ctx, listener, mux)
}

// ServeSync handles the calls of peers that replicate the platform's store until the context is
// done.
func ServeSync(ctx context.Context, listener net.Listener, h SyncHandlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterReplica(mux, &syncService{handlers: h}); err != nil {
		return errors.Wrap(err, "register replica service")
	}
	return serveMux(ctx, listener, mux)
}

func serveMux(ctx context.Context, listener net.Listener, mux *drpcmux.Mux) error {
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errs.Wrap(server.Serve(ctx, listener), "serve peer connections")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Exchange implements peerpb.DRPCPeerServer.
func (s *peerService) Exchange(_ context.Context, in *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	e, err := decodeExchange(in)
	if err != nil {
		return nil, err
	}
	return encodeExchange(s.handlers.Exchange(e)), nil
}

// Borrow implements peerpb.DRPCPeerServer.
func (s *peerService) Borrow(_ context.Context, in *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	reply := s.handlers.Borrow(peer.BorrowRequest{
		From:     in.GetFrom(),
		Stamp:    decodeStamp(in.GetStamp()),
		Resource: peer.Resource(in.GetResource()),
		Want:     int(in.GetWant()),
		Renew:    peer.LoanID(in.GetRenew()),
	})
	return &peerpb.BorrowReply{
		Stamp:  encodeStamp(reply.Stamp),
		Loan:   uint64(reply.Loan),
		Amount: int64(reply.Amount),
	}, nil
}

// Forward implements peerpb.DRPCPeerServer.
func (s *peerService) Forward(ctx context.Context, in *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return encodeForwardReply(s.handlers.Forward(ctx, decodeForwardRequest(in))), nil
}

// Handover implements peerpb.DRPCPeerServer.
func (s *peerService) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Stamp: encodeStamp(s.handlers.Handover(decodeHandover(in)))}, nil
}
