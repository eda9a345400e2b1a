package core

import (
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// minBorrowInterval is the minimum time between two borrow requests for one resource.
	minBorrowInterval = 100 * time.Millisecond
	// borrowTimeout is how long an unanswered borrow request blocks the next one.
	borrowTimeout = time.Second
)

// eachQuota calls visit with every quota in a fixed order.
func (k *Kernel) eachQuota(visit func(peer.Resource, *peer.Quota)) {
	for _, r := range k.resources {
		visit(r.name, r.quota)
	}
}

func (k *Kernel) quota(name peer.Resource) *peer.Quota {
	for _, r := range k.resources {
		if r.name == name {
			return r.quota
		}
	}
	return nil
}

// borrowQuota asks a random peer for quota of each resource that is short, and asks lenders to
// renew loans. Frequent requests to random peers find unused quota without tracking which peer has
// it.
func (k *Kernel) borrowQuota(now time.Time, actions []Action) []Action {
	if !k.mayUseQuota(now) {
		return actions
	}
	var peers []peer.Member
	k.eachQuota(func(name peer.Resource, q *peer.Quota) {
		q.UpdateDemand(now)
		for _, r := range q.TakeRenewals(now) {
			if lender, ok := k.members.Get(r.Lender); ok {
				actions = append(actions, k.newBorrowRequest(now, lender, name, r.Keep, r.ID))
			}
		}
		short := q.Demand() - q.Limit(now)
		if until := k.borrowBlockedUntil[name]; short <= 0 || now.Before(until) {
			return
		}
		if peers == nil {
			peers = k.members.Reachable(now)
		}
		if len(peers) == 0 {
			return
		}
		k.borrowBlockedUntil[name] = now.Add(borrowTimeout)
		lender := peers[k.random.IntN(len(peers))]
		actions = append(actions, k.newBorrowRequest(now, lender, name, short, 0))
	})
	return actions
}

func (k *Kernel) newBorrowRequest(now time.Time, lender peer.Member, name peer.Resource, want int, renew peer.LoanID) SendBorrow {
	return SendBorrow{
		To:     lender,
		SentAt: now,
		Message: peer.BorrowRequest{
			From:     k.config.Self.Name,
			Stamp:    k.clock.Now(now),
			Resource: name,
			Want:     want,
			Renew:    renew,
		},
	}
}

// HandleBorrow handles a borrow request of a peer. A proxy that is releasing slots lends nothing,
// since it would otherwise never stop waiting for loans to end.
func (k *Kernel) HandleBorrow(now time.Time, m peer.BorrowRequest) peer.BorrowReply {
	k.clock.Observe(m.Stamp)
	reply := peer.BorrowReply{Stamp: k.clock.Now(now)}
	q := k.quota(m.Resource)
	if q == nil || !k.mayUseQuota(now) || k.releasingOne || k.releasingAll {
		return reply
	}
	if m.Renew != 0 {
		reply.Loan = m.Renew
		reply.Amount = q.Renew(m.From, m.Renew, m.Want, now)
		return reply
	}
	reply.Loan, reply.Amount = q.Lend(m.From, m.Want, now)
	if k.config.Faults.LoanCountedTwice {
		q.ForgetLent()
	}
	return reply
}

// HandleBorrowReply processes the reply to a borrow request. A nil reply means that the peer did
// not respond.
func (k *Kernel) HandleBorrowReply(now time.Time, sent SendBorrow, reply *peer.BorrowReply) {
	name := sent.Message.Resource
	if sent.Message.Renew == 0 {
		k.borrowBlockedUntil[name] = now.Add(minBorrowInterval)
	}
	q := k.quota(name)
	if reply == nil || q == nil {
		return
	}
	k.clock.Observe(reply.Stamp)
	if sent.Message.Renew != 0 {
		q.HandleRenewalReply(sent.To.Name, reply.Loan, reply.Amount, sent.SentAt)
		return
	}
	if reply.Amount <= 0 {
		return
	}
	q.AddBorrowed(sent.To.Name, reply.Loan, reply.Amount, sent.SentAt, now)
	k.log(now, Event{Kind: EventBorrowed, Target: string(name), Detail: strconv.Itoa(reply.Amount) + " from " + sent.To.Name})
}
