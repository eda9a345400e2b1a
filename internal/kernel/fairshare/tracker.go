// Package fairshare computes how much of the capacity of an overloaded service each client account
// may use. Shares are max-min fair with equal weights: each account gets what it asks for up to a
// common level, and what an account leaves unused raises the level for the others.
//
// It does not decide how much load must be shed. A step that does records each arrival, passes the
// offer and its own ratio to ShedRatio, rejects the request with the probability that it gets, and
// records the rejection.
package fairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// timeConstant is the time constant with which the offered load decays. An account that exceeds
	// its share must be noticed within seconds, but accounts that send a few requests per second
	// must not be told apart by chance.
	timeConstant = 5 * time.Second
	// minRequests is the number of recent requests below which all accounts are treated alike, for
	// example after a restart. With fewer, chance decides whose load is the largest.
	minRequests = 32
	// minObservation is the shortest time over which load is averaged.
	minObservation = time.Second
	// maxAccounts is the number of accounts that are tracked one by one. A table of so many takes
	// less than half a megabyte.
	maxAccounts = 10_000
	// bucketCount is the number of buckets that the other accounts share. All accounts of a bucket
	// are treated as one.
	bucketCount = 8192
	// promoteEvery is the number of arrivals of such accounts after which one is considered for
	// being tracked on its own. It limits the cost of each arrival.
	promoteEvery = 16
	// evictionSample is the number of accounts among which the smallest is evicted when a larger
	// one is not tracked yet.
	evictionSample = 8
	// rescaleAfter is the time after which the stored loads are scaled down. They grow by a factor
	// of a million in that time.
	rescaleAfter = 14 * timeConstant
	// minLoad is the stored load in seconds of work, relative to a request that arrives now, below
	// which an account is forgotten at the next scaling.
	minLoad = 1e-9
)

type (
	// Arrival is a request that arrived for a service, whether or not it is admitted.
	Arrival struct {
		// Account is the name of the client account. Requests without one share the empty name.
		Account string
		// Request identifies what is requested, so that the repetition of a rejected request is
		// recognized. Zero means unknown.
		Request uint64
		// Work is the expected work of the request.
		Work time.Duration
	}

	// Offer is the load that an account offers at the time of an arrival. Only half of the request
	// itself is included: with all of it, the mean over all arrivals would exceed the mean load,
	// and where accounts send a few requests per second more would be rejected than asked for.
	Offer struct {
		account, request uint64
		load, weight     float64
	}

	// account is the hash and the load of a tracked account.
	account struct {
		hash uint64
		load float64
	}

	// Tracker tracks the load that accounts offer to one service with requests of one priority, as
	// seen by one proxy. Priority takes precedence over share, so each priority that is shed needs
	// a tracker of its own. The zero value has no data.
	//
	// Loads are stored in seconds of work multiplied by a weight that grows with time, which has
	// the same effect on their ratios as the decay of all earlier ones.
	Tracker struct {
		// origin is the time at which the weight is one. startedAt is the time of the first
		// arrival.
		origin, startedAt time.Time
		// accounts holds the tracked accounts. Loops use it rather than index, whose random order
		// would make a replay of the same calls decide differently.
		accounts []account
		// index holds the positions of the tracked accounts by their hashes.
		index map[uint64]int32
		// nextCandidate is the position at which the next sample for an eviction starts.
		nextCandidate int
		// buckets holds the summed loads of the accounts for which the map has no room.
		buckets []float64
		// bucketArrivals counts the arrivals of accounts in buckets.
		bucketArrivals int
		// requests is the weighted number of arrivals.
		requests   float64
		histogram  histogram
		rejections rejections
	}
)

// RecordArrival adds a request that arrived, and returns what its account offers. The repetition of
// a rejected request is not counted again.
func (t *Tracker) RecordArrival(now time.Time, a Arrival) Offer {
	if t.index == nil {
		t.index, t.origin, t.startedAt = make(map[uint64]int32), now, now
	}
	if now.Sub(t.origin) >= rescaleAfter {
		t.rescale(now)
	}
	o := Offer{account: xxhash.Sum64String(a.Account), request: a.Request, weight: t.weight(now)}
	if t.rejections.takeRepetition(now, o) {
		o.load = t.load(o.account)
		return o
	}
	load := max(0, a.Work.Seconds()) * o.weight
	t.requests += o.weight
	o.load = t.add(o.account, load) - load/2
	return o
}

// RecordRejection records that the request of an offer was rejected and may be repeated after the
// given delay.
func (t *Tracker) RecordRejection(now time.Time, o Offer, retryAfter time.Duration) {
	t.rejections.record(now, o, retryAfter)
}

// ShedRatio returns the probability with which to reject the request of an offer so that the share
// overall of the load of all accounts is rejected. It is zero for an account below its fair
// share.
func (t *Tracker) ShedRatio(o Offer, overall float64) float64 {
	if overall <= 0 || overall >= 1 || t.tooFew(o.weight) {
		return min(1, max(0, overall))
	}
	t.histogram.refresh(o.weight)
	return excess(o.load, t.histogram.level(o.weight, (1-overall)*t.histogram.total))
}

// Excess returns the share of an account's load that exceeds its fair share of a capacity, which is
// given in seconds of work per second.
func (t *Tracker) Excess(now time.Time, account string, capacity float64) float64 {
	weight := t.weight(now)
	if t.tooFew(weight) {
		return 0
	}
	t.histogram.refresh(weight)
	// The sum of a constant rate of load over the time since the start, with the decay.
	elapsed := max(now.Sub(t.startedAt), minObservation)
	observed := timeConstant.Seconds() * -math.Expm1(-elapsed.Seconds()/timeConstant.Seconds())
	return excess(t.load(xxhash.Sum64String(account)), t.histogram.level(weight, capacity*observed*t.histogram.weight))
}

func excess(load, level float64) float64 {
	if load <= level {
		return 0
	}
	return 1 - level/load
}

// tooFew reports whether there are too few recent requests to tell accounts apart.
func (t *Tracker) tooFew(weight float64) bool { return t.requests < minRequests*weight }

// weight is the factor by which the load of a request that arrives now is multiplied.
func (t *Tracker) weight(now time.Time) float64 {
	return math.Exp(now.Sub(t.origin).Seconds() / timeConstant.Seconds())
}

// load returns the load of an account, or of the bucket that it is in.
func (t *Tracker) load(hash uint64) float64 {
	if i, tracked := t.index[hash]; tracked {
		return t.accounts[i].load
	}
	if t.buckets == nil {
		return 0
	}
	return t.buckets[hash%bucketCount]
}

// add adds load to an account and returns its new load.
func (t *Tracker) add(hash uint64, load float64) float64 {
	i, tracked := t.index[hash]
	if !tracked && len(t.accounts) < maxAccounts {
		i, tracked = int32(len(t.accounts)), true
		t.index[hash] = i
		t.accounts = append(t.accounts, account{hash: hash})
	}
	if tracked {
		a := &t.accounts[i]
		t.histogram.move(a.load, a.load+load)
		a.load += load
		return a.load
	}
	if t.buckets == nil {
		t.buckets = make([]float64, bucketCount)
	}
	bucket := &t.buckets[hash%bucketCount]
	t.histogram.move(*bucket, *bucket+load)
	*bucket += load
	if t.bucketArrivals++; t.bucketArrivals%promoteEvery == 0 && t.promote(hash, load) {
		return load
	}
	return *bucket
}

// promote tracks an account of a bucket on its own if the bucket has more load than one of a few
// tracked accounts, which goes to its bucket instead. The account starts with the given load of its
// last request. How much of the bucket's other load is its own is unknown, and it must not be
// blamed for that of others; an account with much load has it again within seconds.
func (t *Tracker) promote(hash uint64, load float64) bool {
	position := t.nextCandidate % len(t.accounts)
	for n := range evictionSample {
		if i := (t.nextCandidate + n) % len(t.accounts); t.accounts[i].load < t.accounts[position].load {
			position = i
		}
	}
	t.nextCandidate = (t.nextCandidate + evictionSample) % len(t.accounts)
	evicted := t.accounts[position]
	from, to := &t.buckets[hash%bucketCount], &t.buckets[evicted.hash%bucketCount]
	if evicted.load >= *from {
		return false
	}
	delete(t.index, evicted.hash)
	t.histogram.move(evicted.load, 0)
	t.histogram.move(*to, *to+evicted.load)
	*to += evicted.load
	rest := max(0, *from-load)
	t.histogram.move(*from, rest)
	*from = rest
	t.histogram.move(0, load)
	t.accounts[position], t.index[hash] = account{hash: hash, load: load}, int32(position)
	return true
}

// rescale makes the weight of a request that arrives now one.
func (t *Tracker) rescale(now time.Time) {
	factor := 1 / t.weight(now)
	t.origin = now
	t.requests *= factor
	t.histogram = histogram{}
	kept := t.accounts[:0]
	for _, a := range t.accounts {
		if a.load *= factor; a.load < minLoad {
			delete(t.index, a.hash)
			continue
		}
		t.index[a.hash] = int32(len(kept))
		kept = append(kept, a)
		t.histogram.move(0, a.load)
	}
	t.accounts = kept
	for i, load := range t.buckets {
		if load *= factor; load < minLoad {
			load = 0
		}
		t.buckets[i] = load
		t.histogram.move(0, load)
	}
}
