package peer

import (
	"math"
	"slices"
	"time"
)

const (
	// LoanTTL is how long a loan of quota lasts for its borrower, counted
	// from before it asked.
	LoanTTL = 2 * time.Second
	// returnDelay is how long a lender waits before it uses quota again that
	// the borrower has given back: the borrower's last admissions still count.
	returnDelay = WindowLength + WindowLength/10
	// maxCountedRejections bounds the refusals counted.
	maxCountedRejections = 4096
	// renewalLeadTime its end a borrower asks to keep a loan up. Renewed loans
	// waste nothing; one that ends lies idle for the lender's guard.
	renewalLeadTime = 900 * time.Millisecond
	// demandDecay is how much of the way the estimated need falls a tick.
	demandDecay = 0.03
	// demandMargin is the room above the traffic of the last second, in roots.
	demandMargin = 2.5
)

type (
	// Resource names something with a capacity in requests per second, such
	// as "region/palermo" or "link/palermo/catania".
	Resource string

	// LoanID numbers the loans of one lender.
	LoanID uint64

	loan struct {
		id        LoanID
		peer      string
		amount    int
		expiresAt time.Time
		// renewalPending marks a loan whose renewal is under way.
		renewalPending bool
	}

	// Renewal asks a lender to keep up part of a loan.
	Renewal struct {
		Lender string
		ID     LoanID
		Keep   int
	}

	// Quota is one proxy's share of one resource. The shares of all proxies
	// and the loans between them sum to at most the capacity at every moment:
	// a lender lowers its own limit before it grants, a borrower's loan ends
	// before the lender counts it as its own again, and a lost grant wastes
	// quota until its end but never doubles it.
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

// SetMaxDeadline tells the longest deadline that a request may carry. A VM that
// was paused with its clock stopped believes that its loans still last. What
// it then dispatches carries deadlines that lie behind by the pause, and
// backend servers refuse it once they have passed. A lender that waits for the
// longest deadline beyond a loan's end is thus safe from pauses of any length.
func (q *Quota) SetMaxDeadline(maxDeadline time.Duration) {
	q.reclaimDelay = WindowLength + LoanTTL/10 + maxDeadline
}

// RaiseDelay is how long a raised share waits before use. Whoever held the
// difference may have lent it just before, and its borrower uses the loan to
// its end.
func (q *Quota) RaiseDelay() time.Duration { return LoanTTL + q.reclaimDelay }

// SetBase sets the own share. A lower one holds at once. A higher one waits
// for RaiseDelay, unless whoever held the difference is known to have
// stopped using and lending it.
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

// Base is the own share in force.
func (q *Quota) Base(now time.Time) int {
	if q.pendingBase > q.base && !now.Before(q.raiseAt) {
		q.base = q.pendingBase
		q.raiseAt = time.Time{}
	}
	return q.base
}

// Limit is how many requests may be admitted per window now. It is below zero
// when the own share shrank while part of it was on loan.
func (q *Quota) Limit(now time.Time) int {
	return q.Base(now) - sumActive(&q.lent, now) + sumActive(&q.borrowed, now)
}

// sumActive adds up the loans that last and drops the others.
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

// TryAcquire admits one request or notes that quota was short.
func (q *Quota) TryAcquire(now time.Time) bool {
	if q.Admit(now, q.Limit(now)) {
		return true
	}
	q.rejections.Admit(now, maxCountedRejections)
	return false
}

// RecentRejections counts refusals within the last window, up to a bound that
// keeps the count's memory small.
func (q *Quota) RecentRejections(now time.Time) int { return q.rejections.Used(now) }

// UpdateDemand takes the traffic of the last second into the estimated need, once a
// tick. The estimate rises at once and falls slowly, so that a short lull does
// not give back what the next moment needs.
func (q *Quota) UpdateDemand(now time.Time) {
	observed := float64(q.Used(now) + q.RecentRejections(now))
	if observed > q.demand {
		q.demand = observed
		return
	}
	q.demand += demandDecay * (observed - q.demand)
}

// Demand is how much quota the own traffic wants, with room for the unevenness
// of arrivals, whose spread within a window is about the root of their number.
func (q *Quota) Demand() int {
	if q.demand < 1 {
		return 0
	}
	return int(q.demand+demandMargin*math.Sqrt(q.demand)) + 1
}

// Available is what is left in the current window.
func (q *Quota) Available(now time.Time) int {
	return max(0, q.Limit(now)-q.Used(now))
}

// Lend lowers the own limit and returns the loan's number and what the
// borrower may have. Only quota that was not used within the window is lent,
// since a unit used here and there within one second would count twice.
// Borrowed quota is never lent on: its end would have to be passed on too.
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

// Renew keeps part of a loan up and takes the rest home, after one window in
// which the borrower's last use of it still counts. It returns what is kept.
func (q *Quota) Renew(borrower string, id LoanID, keep int, now time.Time) int {
	sumActive(&q.lent, now)
	for i := range q.lent {
		l := &q.lent[i]
		if l.id != id || l.peer != borrower {
			continue
		}
		// The own share may have shrunk since; what it no longer covers must
		// not be kept up.
		others := sumActive(&q.lent, now) - l.amount
		granted := min(keep, l.amount, max(0, q.Base(now)-others))
		returned := loan{peer: borrower, amount: l.amount - granted, expiresAt: now.Add(returnDelay)}
		if granted < keep {
			// The borrower hears of the refusal and uses all to the old end.
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

// AddBorrowed adds a loan that was asked for at the given time. Counting from the
// asking keeps the borrower's end before the lender's however long the
// message took.
func (q *Quota) AddBorrowed(lender string, id LoanID, amount int, requestedAt, now time.Time) {
	expiresAt := requestedAt.Add(LoanTTL)
	if amount <= 0 || !now.Before(expiresAt) {
		return
	}
	q.borrowed = append(q.borrowed, loan{id: id, peer: lender, amount: amount, expiresAt: expiresAt})
}

// TakeRenewals lists loans that end soon, each with how much of it is still
// needed. What is no longer needed stops counting here at once, before the
// lender hears of it.
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

// DropBorrowed gives up all loans. When shares are figured anew a lender may
// keep less than it has lent, and could not make up for the difference.
func (q *Quota) DropBorrowed() { q.borrowed = nil }

// HandleRenewalReply takes in the lender's answer. A refused or lost one lets the loan
// run out at its old end.
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

// ForgetLent counts what is on loan as the own again. Only a test that takes
// the guard out calls it.
func (q *Quota) ForgetLent() { q.lent = nil }

// HasLent reports whether a loan to a peer may still be in use. Loans are
// dropped when a limit is computed after their end.
func (q *Quota) HasLent() bool { return len(q.lent) > 0 }
