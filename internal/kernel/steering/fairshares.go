package steering

import (
	"encoding/binary"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/fairshare"
)

const (
	// sharePriorities is the number of priorities that have a tracker of their own. All less urgent
	// requests use the last one, so that the memory of a service is bounded.
	sharePriorities = 8
)

type (
	// shareTrackers holds what accounts ask of a service, by priority. It holds no tracker for a
	// priority without requests.
	shareTrackers [sharePriorities]*fairshare.Tracker

	// accountOffer is what the account of a request asked for when the request arrived. Without a
	// tracker, accounts are not distinguished.
	accountOffer struct {
		fairshare.Offer
		tracker *fairshare.Tracker
	}
)

// forPriority returns the tracker of a priority.
func (t *shareTrackers) forPriority(priority int) *fairshare.Tracker {
	i := min(max(priority, 0), sharePriorities-1)
	if t[i] == nil {
		t[i] = &fairshare.Tracker{}
	}
	return t[i]
}

// recordOffer counts an arriving request for its account.
func (k *Kernel) recordOffer(now time.Time, req *ActiveRequest, svc *service, work time.Duration) {
	if !req.HasAccounts || !k.isEnabled(MechanismFairShares) {
		return
	}
	arrival := fairshare.Arrival{Request: binary.LittleEndian.Uint64(req.Work[:]), Work: work}
	if req.Account != nil {
		arrival.Account = req.Account.Name
	}
	tracker := svc.shares.forPriority(req.priority())
	req.offer = accountOffer{Offer: tracker.RecordArrival(now, arrival), tracker: tracker}
}

// recordRejection records that the request was rejected and may be repeated after a delay.
func (o accountOffer) recordRejection(now time.Time, retryAfter time.Duration) {
	if o.tracker != nil {
		o.tracker.RecordRejection(now, o.Offer, retryAfter)
	}
}

// shedRatio returns the share of the account's requests to reject, given that of all requests.
func (o accountOffer) shedRatio(overall float64) float64 {
	if o.tracker == nil {
		return overall
	}
	return o.tracker.ShedRatio(o.Offer, overall)
}
