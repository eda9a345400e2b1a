package peerdrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// slotRequestTimeout limits a slot request to the owner of a limiter, during which a caller's
	// request waits. It allows for a round trip to another region and processing on a slow VM.
	slotRequestTimeout = 200 * time.Millisecond
)

// RequestSlot requests a slot from the owner of a server's limiter. Times are sent relative to now,
// because the clocks of proxies differ.
func (c *Client) RequestSlot(ctx context.Context, to netip.AddrPort, now time.Time, a steering.SlotRequest) (steering.SlotReply, error) {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Ask(ctx, &peerpb.AskMessage{
		From: a.From, Id: a.ID, Server: a.Server, Priority: uint32(a.Priority), WorkMicro: a.Work.Microseconds(),
		GoodMicro: a.Good.Sub(now).Microseconds(), LastMicro: a.Last.Sub(now).Microseconds(), UntilMicro: a.Until.Sub(now).Microseconds(),
		Limit: encodeLimit("", a.Limit),
	})
	if err != nil {
		return steering.SlotReply{}, errors.Wrap(err, "request slot")
	}
	return decodeSlotReply(out), nil
}

// ReleaseSlot returns a slot to the owner of its limiter.
func (c *Client) ReleaseSlot(ctx context.Context, to netip.AddrPort, r steering.SlotRelease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Release(ctx, &peerpb.ReleaseMessage{
		From: r.From, Id: r.ID, Server: r.Server, Rank: uint32(r.Rank), Ratio: float32(r.Ratio),
	})
	return errs.Wrap(err, "release slot")
}

// SendSlotReply sends a proxy the decision on its slot request.
func (c *Client) SendSlotReply(ctx context.Context, to netip.AddrPort, r steering.SlotReply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Grant(ctx, encodeSlotReply(r))
	return errs.Wrap(err, "send slot reply")
}

// Ask implements peerpb.DRPCReplicaServer.
func (s *syncService) Ask(_ context.Context, in *peerpb.AskMessage) (*peerpb.PlaceMessage, error) {
	now := s.handlers.Now()
	after := func(micro int64) time.Time { return now.Add(time.Duration(micro) * time.Microsecond) }
	return encodeSlotReply(s.handlers.RequestSlot(steering.SlotRequest{
		Server: in.GetServer(), Work: time.Duration(in.GetWorkMicro()) * time.Microsecond, Limit: decodeLimit(in.GetLimit()),
		Ticket: admission.Ticket{
			ID: in.GetId(), From: in.GetFrom(), Priority: int(in.GetPriority()),
			Good: after(in.GetGoodMicro()), Last: after(in.GetLastMicro()), Until: after(in.GetUntilMicro()),
		},
	})), nil
}

// Release implements peerpb.DRPCReplicaServer.
func (s *syncService) Release(_ context.Context, in *peerpb.ReleaseMessage) (*peerpb.Nothing, error) {
	s.handlers.ReleaseSlot(steering.SlotRelease{
		From: in.GetFrom(), ID: in.GetId(), Server: in.GetServer(), Rank: int(in.GetRank()), Ratio: float64(in.GetRatio()),
	})
	return &peerpb.Nothing{}, nil
}

// Grant implements peerpb.DRPCReplicaServer.
func (s *syncService) Grant(_ context.Context, in *peerpb.PlaceMessage) (*peerpb.Nothing, error) {
	s.handlers.HandleSlotReply(decodeSlotReply(in))
	return &peerpb.Nothing{}, nil
}

func encodeSlotReply(r steering.SlotReply) *peerpb.PlaceMessage {
	return &peerpb.PlaceMessage{
		From: r.From, Id: r.ID, Verdict: uint32(r.Verdict), Rank: uint32(r.Rank), Running: uint32(r.Running), Waiting: uint32(r.Waiting),
		Limit: encodeLimit("", r.Limit), Unknown: r.Unknown, Whole: r.Whole, Sound: r.Sound,
	}
}

func decodeSlotReply(in *peerpb.PlaceMessage) steering.SlotReply {
	return steering.SlotReply{
		Grant: admission.Grant{
			Ticket:  admission.Ticket{ID: in.GetId(), From: in.GetFrom()},
			Verdict: admission.Verdict(in.GetVerdict()), Rank: int(in.GetRank()),
		},
		Running: int(in.GetRunning()), Waiting: int(in.GetWaiting()), Limit: decodeLimit(in.GetLimit()),
		Unknown: in.GetUnknown(), Whole: in.GetWhole(), Sound: in.GetSound(),
	}
}

func encodeLimit(service string, l admission.Limit) *peerpb.Held {
	return &peerpb.Held{Service: service, Slots: uint32(l.Slots), Most: uint32(l.Max), Evidence: uint32(l.Samples)}
}

func decodeLimit(in *peerpb.Held) admission.Limit {
	return admission.Limit{Slots: int(in.GetSlots()), Max: int(in.GetMost()), Samples: int(in.GetEvidence())}
}
