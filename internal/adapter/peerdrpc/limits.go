package peerdrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// reportTimeout limits a report to a quota pool. It allows for a round trip to another region
	// and processing on a slow VM; a pool that takes longer is of no use.
	reportTimeout = 250 * time.Millisecond
	// tokenTimeout limits a token request to a quota pool, during which a caller's request waits.
	tokenTimeout = 150 * time.Millisecond
)

// ReportLimits reports to a quota pool the shares that a proxy deposits and requests, and returns
// what the pool grants.
func (c *Client) ReportLimits(ctx context.Context, to netip.AddrPort, r ratelimit.Report) (ratelimit.Grants, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).ReportLimits(ctx, &peerpb.LimitReport{
		From: r.From, Part: uint32(r.Part), Pool: r.Pool, ClockMicro: r.Echo.Microseconds(), Applied: r.Applied,
		Wants: encodeShares(r.Wants), Withdraws: r.Withdraws, Lends: r.Lends, Starter: uint32(r.Starter), Start: r.Start,
	})
	if err != nil {
		return ratelimit.Grants{}, errors.Wrap(err, "report to quota pool")
	}
	return ratelimit.Grants{
		Pool: out.GetPool(), Clock: decodeMicros(out.GetClockMicro()), ID: out.GetId(), Shares: decodeShares(out.GetShares()),
		For: decodeMicros(out.GetForMicro()), Withdrawn: out.GetWithdrawn(),
	}, nil
}

// TakeToken requests a token for one request of an account from a quota pool.
func (c *Client) TakeToken(ctx context.Context, to netip.AddrPort, account string) (ratelimit.TokenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).TakeToken(ctx, &peerpb.TokenRequest{Account: account})
	if err != nil {
		return ratelimit.TokenReply{}, errors.Wrap(err, "request token from quota pool")
	}
	return ratelimit.TokenReply{Granted: out.GetGranted(), Wait: decodeMicros(out.GetWaitMicro())}, nil
}

// ReportLimits implements peerpb.DRPCReplicaServer.
func (s *syncService) ReportLimits(_ context.Context, in *peerpb.LimitReport) (*peerpb.LimitGrants, error) {
	if in.GetFrom() == "" || in.GetClockMicro() < 0 || in.GetPart() > uint32(ratelimit.FullShare) {
		return nil, errors.New("rate limit report: invalid from, clock_micro or part")
	}
	g := s.handlers.ReportLimits(ratelimit.Report{
		From: in.GetFrom(), Part: ratelimit.Share(in.GetPart()), Pool: in.GetPool(), Echo: decodeMicros(in.GetClockMicro()),
		Applied: in.GetApplied(), Wants: decodeShares(in.GetWants()), Withdraws: in.GetWithdraws(), Lends: in.GetLends(),
		Starter: min(ratelimit.Share(in.GetStarter()), ratelimit.FullShare), Start: in.GetStart(),
	})
	return &peerpb.LimitGrants{
		Pool: g.Pool, ClockMicro: g.Clock.Microseconds(), Id: g.ID, Shares: encodeShares(g.Shares),
		ForMicro: g.For.Microseconds(), Withdrawn: g.Withdrawn,
	}, nil
}

// TakeToken implements peerpb.DRPCReplicaServer.
func (s *syncService) TakeToken(_ context.Context, in *peerpb.TokenRequest) (*peerpb.TokenReply, error) {
	t := s.handlers.TakeToken(in.GetAccount())
	return &peerpb.TokenReply{Granted: t.Granted, WaitMicro: t.Wait.Microseconds()}, nil
}

func encodeShares(list []ratelimit.AccountShare) []*peerpb.LimitShare {
	out := make([]*peerpb.LimitShare, 0, len(list))
	for _, w := range list {
		out = append(out, &peerpb.LimitShare{Account: w.Account, Share: uint32(w.Share)})
	}
	return out
}

func decodeShares(list []*peerpb.LimitShare) []ratelimit.AccountShare {
	in := make([]ratelimit.AccountShare, 0, len(list))
	for _, w := range list {
		in = append(in, ratelimit.AccountShare{Account: w.GetAccount(), Share: min(ratelimit.Share(w.GetShare()), ratelimit.FullShare)})
	}
	return in
}

func decodeMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
