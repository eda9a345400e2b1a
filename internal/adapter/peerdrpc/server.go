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
	// MaxMessageBytes bounds one message; a hand-over is the largest.
	MaxMessageBytes = 16 << 20
)

type (
	// Handlers answers peers. Each field is the kernel's own method behind
	// the driver's lock, but for Forward, which runs a whole request.
	Handlers struct {
		Exchange func(peer.Exchange) peer.Exchange
		Borrow   func(peer.BorrowRequest) peer.BorrowReply
		Forward  func(context.Context, peer.ForwardRequest) peer.ForwardReply
		Handover func(peer.HandoverRequest) peer.Stamp
	}

	// SyncHandlers answers proxies on the platform.
	SyncHandlers struct {
		// Sync compares copies of the store.
		Sync func(SyncMessage) SyncMessage
		// RequestSlot answers for places at servers whose gates are here, Release takes them
		// back, Grant hears what has become of an own question.
		RequestSlot     func(steering.SlotRequest) steering.SlotReply
		ReleaseSlot     func(steering.SlotRelease)
		HandleSlotReply func(steering.SlotReply)
		// ReportLimits answers proxies whose pool of limits is here, TakeToken those that
		// ask it for one request of an account.
		ReportLimits func(ratelimit.Report) ratelimit.Grants
		TakeToken    func(account string) ratelimit.TokenReply
		// Now is the clock by which moments are told.
		Now func() time.Time
	}

	peerService struct {
		handlers Handlers
	}
)

// Serve answers peers until the context ends.
func Serve(ctx context.Context, listener net.Listener, h Handlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &peerService{handlers: h}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	return serveMux(ctx, listener, mux)
}

// ServeSync answers proxies on the platform until the context ends.
func ServeSync(ctx context.Context, listener net.Listener, h SyncHandlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterReplica(mux, &syncService{handlers: h}); err != nil {
		return errors.Wrap(err, "register replica service")
	}
	return serveMux(ctx, listener, mux)
}

func serveMux(ctx context.Context, listener net.Listener, mux *drpcmux.Mux) error {
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errs.Wrap(server.Serve(ctx, listener), "serve peers")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Exchange implements the generated interface.
func (s *peerService) Exchange(_ context.Context, in *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	e, err := decodeExchange(in)
	if err != nil {
		return nil, err
	}
	return encodeExchange(s.handlers.Exchange(e)), nil
}

// Borrow implements the generated interface.
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

// Forward implements the generated interface.
func (s *peerService) Forward(ctx context.Context, in *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return encodeForwardReply(s.handlers.Forward(ctx, decodeForwardRequest(in))), nil
}

// Handover implements the generated interface.
func (s *peerService) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Stamp: encodeStamp(s.handlers.Handover(decodeHandover(in)))}, nil
}
