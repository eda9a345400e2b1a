package fairshare

import (
	"time"
)

const (
	// rejectionSlots is the number of rejected requests that are remembered.
	rejectionSlots = 2048
	// repetitionSlack is how long after the retry delay a repetition is expected.
	repetitionSlack = 2 * time.Second
)

type (
	// rejections remembers the rejected requests that callers may repeat, in a hash table in which
	// a request replaces an earlier one of the same slot.
	rejections struct {
		slots []rejection
	}

	// rejection is a rejected request and the time from which its repetition is expected.
	rejection struct {
		key  uint64
		from time.Time
	}
)

// record remembers a rejected request. While a repetition of the same request is expected, further
// ones are not remembered: an account that sends the same request again and again would otherwise
// be counted only for what is admitted.
func (r *rejections) record(now time.Time, o Offer, retryAfter time.Duration) {
	if o.request == 0 {
		return
	}
	if r.slots == nil {
		r.slots = make([]rejection, rejectionSlots)
	}
	key := o.account ^ o.request
	slot := &r.slots[key%rejectionSlots]
	if slot.key == key && now.Sub(slot.from) < repetitionSlack {
		return
	}
	*slot = rejection{key: key, from: now.Add(retryAfter)}
}

// takeRepetition reports whether an arrival is the repetition of a rejected request, and forgets
// the rejection. An arrival before the retry delay is a request of its own.
func (r *rejections) takeRepetition(now time.Time, o Offer) bool {
	if r.slots == nil || o.request == 0 {
		return false
	}
	key := o.account ^ o.request
	slot := &r.slots[key%rejectionSlots]
	if slot.key != key || now.Before(slot.from) || now.Sub(slot.from) >= repetitionSlack {
		return false
	}
	*slot = rejection{}
	return true
}
