package peer

import (
	"math"
	"slices"
	"time"
)

const (
	// LoanTTL is how long a borrower may use a loan of quota, counted from the time at which it
	// sent the request.
	LoanTTL = 2 * time.Second
	// returnDelay is how long a lender waits before it reuses quota that a borrower has returned.
	// The borrower's last admissions still count within the window.
	returnDelay = WindowLength + WindowLength/10
	// maxCountedRejections bounds the number of rejections that are counted.
	maxCountedRejections = 4096
	// renewalLeadTime is how long before its expiry a borrower requests the renewal of a loan. A
	// renewed loan wastes no quota, while an expired one is unused during the lender's reclaim
	// delay.
	renewalLeadTime = 900 * time.Millisecond
	// demandDecay is the fraction of the difference by which the demand estimate falls per tick.
	demandDecay = 0.03
	// demandMargin is the headroom above the estimated demand, in units of its square root.
	demandMargin = 2.5
)

type (
	// Resource is the name of something that has a capacity in requests per second, such as
	// "region/palermo" or "link/palermo/catania".
	Resource string

	// LoanID identifies a loan among those of a lender.
	LoanID uint64

	loan struct {
		id        LoanID
		peer      string
		amount    int
		expiresAt time.Time
		// renewalPending is set while a renewal request is outstanding.
		renewalPending bool
	}

	// Renewal is a request to a lender to renew the amount Keep of a loan.
	Renewal struct {
		Lender string
		ID     LoanID
		Keep   int
	}

	// Quota is a proxy's share of the capacity of a resource. The shares of all proxies and the
	// loans between them never sum to more than the capacity: a lender lowers its own limit before
	// it grants a loan, a loan expires for its borrower before the lender reclaims it, and a lost
	// grant wastes quota until it expires but never counts it twice.
	Quota struct {
		SlidingWindow
		base         int
		pendingBase  int
		raiseAt      time.Time
		lastLoanID   LoanID
		lent         []loan
		borrowed     []loan
		rejections   SlidingWindow
		demand       float64
		reclaimDelay time.Duration
	}
)

// SetMaxDeadline sets the longest deadline that a request may have. A VM that was paused with its
// clock stopped considers its loans still valid. The requests that it then dispatches have
// deadlines that are early by the length of the pause, and backend servers reject them once these
// have passed. A lender that waits for the longest deadline after a loan's expiry is therefore safe
// from pauses of any length.
func (q *Quota) SetMaxDeadline(maxDeadline time.Duration) {
	q.reclaimDelay = WindowLength + LoanTTL/10 + maxDeadline
}

// RaiseDelay returns how long an increase of the base share is delayed. The previous holder of the
// difference may have lent it just before, and the borrower uses the loan until it expires.
func (q *Quota) RaiseDelay() time.Duration { return LoanTTL + q.reclaimDelay }

// SetBase sets the base share of this proxy. A decrease takes effect immediately. An increase takes
// effect after RaiseDelay, or immediately if immediate is set because the previous holder of the
// difference is known to have stopped using and lending it.
func (q *Quota) SetBase(base int, immediate bool, now time.Time) {
	if immediate && q.raiseAt.IsZero() {
		q.base = base
		q.pendingBase = base
		return
	}
	if base <= q.base {
		q.base = base
		q.pendingBase = base
		q.raiseAt = time.Time{}
		return
	}
	if base == q.pendingBase && !q.raiseAt.IsZero() {
		return
	}
	q.pendingBase = base
	q.raiseAt = now.Add(q.RaiseDelay())
}

// Base returns the base share that is in effect.
func (q *Quota) Base(now time.Time) int {
	if q.pendingBase > q.base && !now.Before(q.raiseAt) {
		q.base = q.pendingBase
		q.raiseAt = time.Time{}
	}
	return q.base
}

// Limit returns how many requests may currently be admitted per window. It is negative if the base
// share was decreased while part of it was lent.
func (q *Quota) Limit(now time.Time) int {
	return q.Base(now) - sumActive(&q.lent, now) + sumActive(&q.borrowed, now)
}

// sumActive returns the total amount of the active loans and removes expired ones.
func sumActive(loans *[]loan, now time.Time) int {
	if len(*loans) == 0 {
		return 0
	}
	*loans = slices.DeleteFunc(*loans, func(l loan) bool { return !now.Before(l.expiresAt) })
	total := 0
	for _, l := range *loans {
		total += l.amount
	}
	return total
}

// TryAcquire admits a request, or counts a rejection and returns false if the limit is reached.
func (q *Quota) TryAcquire(now time.Time) bool {
	if q.Admit(now, q.Limit(now)) {
		return true
	}
	q.rejections.Admit(now, maxCountedRejections)
	return false
}

// RecentRejections returns the number of rejections within the last window, up to a bound that
// limits the memory for counting them.
func (q *Quota) RecentRejections(now time.Time) int { return q.rejections.Used(now) }

// UpdateDemand updates the demand estimate with the traffic of the last second. It is called once
// per tick. The estimate rises immediately and falls slowly, so that quota is not returned during a
// short drop in traffic.
func (q *Quota) UpdateDemand(now time.Time) {
	observed := float64(q.Used(now) + q.RecentRejections(now))
	if observed > q.demand {
		q.demand = observed
		return
	}
	q.demand += demandDecay * (observed - q.demand)
}

// Demand returns how much quota this proxy's traffic needs, with headroom for random variation: the
// standard deviation of arrivals within a window is about the square root of their number.
func (q *Quota) Demand() int {
	if q.demand < 1 {
		return 0
	}
	return int(q.demand+demandMargin*math.Sqrt(q.demand)) + 1
}

// Available returns how many more requests may be admitted in the current window.
func (q *Quota) Available(now time.Time) int {
	return max(0, q.Limit(now)-q.Used(now))
}

// Lend lowers this proxy's limit and returns the ID and amount of the loan; the amount is zero if
// nothing can be lent. Only quota that was not used within the window is lent, because a unit used
// by both proxies within one second would count twice. Borrowed quota is never lent on, because its
// expiry would have to be passed on as well.
func (q *Quota) Lend(to string, want int, now time.Time) (LoanID, int) {
	own := q.Base(now) - sumActive(&q.lent, now)
	spare := own - max(q.Used(now), q.Demand())
	amount := min(want, spare)
	if amount <= 0 {
		return 0, 0
	}
	q.lastLoanID++
	q.lent = append(q.lent, loan{id: q.lastLoanID, peer: to, amount: amount, expiresAt: now.Add(LoanTTL + q.reclaimDelay)})
	return q.lastLoanID, amount
}

// Renew renews the amount keep of a loan and reclaims the rest after returnDelay, during which the
// borrower's last use of it still counts. It returns the renewed amount, or zero if the renewal is
// rejected.
func (q *Quota) Renew(borrower string, id LoanID, keep int, now time.Time) int {
	sumActive(&q.lent, now)
	for i := range q.lent {
		l := &q.lent[i]
		if l.id != id || l.peer != borrower {
			continue
		}
		// The base share may have been decreased since. Only what it still covers may be renewed.
		others := sumActive(&q.lent, now) - l.amount
		granted := min(keep, l.amount, max(0, q.Base(now)-others))
		returned := loan{peer: borrower, amount: l.amount - granted, expiresAt: now.Add(returnDelay)}
		if granted < keep {
			// The borrower is told of the rejection and uses the whole loan until its old expiry.
			return 0
		}
		if returned.expiresAt.After(l.expiresAt) {
			returned.expiresAt = l.expiresAt
		}
		l.amount = keep
		if keep > 0 {
			l.expiresAt = now.Add(LoanTTL + q.reclaimDelay)
		}
		if returned.amount > 0 {
			q.lent = append(q.lent, returned)
		}
		return keep
	}
	return 0
}

// AddBorrowed adds a loan that was requested at requestedAt. Its lifetime is counted from the
// request, so that it expires for the borrower before it does for the lender however long the
// messages took.
func (q *Quota) AddBorrowed(lender string, id LoanID, amount int, requestedAt, now time.Time) {
	expiresAt := requestedAt.Add(LoanTTL)
	if amount <= 0 || !now.Before(expiresAt) {
		return
	}
	q.borrowed = append(q.borrowed, loan{id: id, peer: lender, amount: amount, expiresAt: expiresAt})
}

// TakeRenewals returns renewals for the loans that expire soon, each with the amount that is still
// needed. The rest no longer counts towards this proxy's limit from now on, before the lender
// learns that it is returned.
func (q *Quota) TakeRenewals(now time.Time) []Renewal {
	var list []Renewal
	surplus := q.Limit(now) - q.Demand()
	for i := range q.borrowed {
		l := &q.borrowed[i]
		if l.renewalPending || l.expiresAt.Sub(now) > renewalLeadTime {
			continue
		}
		l.renewalPending = true
		returned := min(max(surplus, 0), l.amount)
		l.amount -= returned
		surplus -= returned
		list = append(list, Renewal{Lender: l.peer, ID: l.id, Keep: l.amount})
	}
	return list
}

// DropBorrowed drops all borrowed quota. When shares are recomputed, a lender's new share may be
// less than what it has lent, and it could not compensate for the difference.
func (q *Quota) DropBorrowed() { q.borrowed = nil }

// HandleRenewalReply applies the lender's reply to a renewal. If the renewal is rejected or the
// reply is lost, the loan expires at its old time.
func (q *Quota) HandleRenewalReply(lender string, id LoanID, kept int, requestedAt time.Time) {
	for i := range q.borrowed {
		l := &q.borrowed[i]
		if l.id != id || l.peer != lender {
			continue
		}
		if kept >= l.amount && l.amount > 0 {
			l.expiresAt = requestedAt.Add(LoanTTL)
			l.renewalPending = false
		}
		return
	}
}

// ForgetLent reclaims all lent quota immediately. It is called only if a test injects the fault
// that lent quota is counted twice.
func (q *Quota) ForgetLent() { q.lent = nil }

// HasLent reports whether a loan to a peer may still be in use. Expired loans are removed only when
// a limit is computed.
func (q *Quota) HasLent() bool { return len(q.lent) > 0 }
