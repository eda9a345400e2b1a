package forward

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// quarantineInterval is how often condemned work is compared with what is stored, and the
	// time that each proxy gives those before it to store it.
	quarantineInterval = time.Second
	// quarantineTTL is the lease of a stored verdict; the longest that the store gives.
	quarantineTTL = 10 * time.Minute
	// quarantineRenewInterval leaves a renewal to fail before the lease ends.
	quarantineRenewInterval = 4 * time.Minute
	// quarantineRetryDelay is the time between two tries while the store does not answer.
	quarantineRetryDelay = 5 * time.Second
	// maxQuarantineEntries bounds the verdicts that are stored.
	maxQuarantineEntries = 64
)

type (
	// quarantineStore keep condemned work in the platform's store. All proxies may lose power
	// at once, and those that come back would let the work end servers until they have
	// found it out again. A verdict is rare: two calls each, made by one proxy.
	quarantineStore struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// stored are the verdicts that are in the store, as far as is known.
		stored map[quarantine.Work]bool
		// owned are those that this proxy has stored.
		owned map[quarantine.Work]ownedLease
		// missingSince is when this proxy first found work condemned that is not stored.
		missingSince map[quarantine.Work]time.Time
	}

	ownedLease struct {
		id        uint64
		renewedAt time.Time
	}

	// quarantineEntry is the text of a stored verdict.
	quarantineEntry struct {
		Work quarantine.Work   `json:"work"`
		Ends []quarantineCrash `json:"ends"`
		// RanWell is set if the work had run well before.
		RanWell bool `json:"ran-well,omitempty"`
	}

	quarantineCrash struct {
		Server quarantine.Server `json:"server"`
		// AgeMilli is how long ago it was when the verdict was stored, in milliseconds.
		AgeMilli int64 `json:"age-milli"`
	}
)

func newQuarantineStore(d *Daemon, s Store) *quarantineStore {
	return &quarantineStore{
		daemon: d, store: s, stored: make(map[quarantine.Work]bool),
		owned: make(map[quarantine.Work]ownedLease), missingSince: make(map[quarantine.Work]time.Time),
	}
}

// handleEntry takes in a stored verdict, or its end. An end clears nothing: a lease may have
// run out.
func (v *quarantineStore) handleEntry(name string, e replica.Entry) {
	var work quarantine.Work
	if err := work.UnmarshalText([]byte(name)); err != nil {
		v.daemon.replica.rejectEntry("verdict", name, err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Removed {
		delete(v.stored, work)
		return
	}
	report, err := decodeQuarantineEntry(work, e.Value)
	if err != nil {
		v.daemon.replica.rejectEntry("verdict", name, err)
		return
	}
	v.stored[work] = true
	v.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.HearSuspicions(now, []quarantine.Report{report}) })
}

func decodeQuarantineEntry(work quarantine.Work, data []byte) (quarantine.Report, error) {
	r := quarantine.Report{Work: work}
	if err := operator.CheckSyntax(data); err != nil {
		return r, err
	}
	var stored quarantineEntry
	if err := json.Unmarshal(data, &stored); err != nil {
		return r, errors.Wrap(err, "verdict")
	}
	if stored.Work != work {
		return r, &operator.FieldError{Field: "work", Want: strconv.Quote(work.String()) + ", as in the key", Got: strconv.Quote(stored.Work.String())}
	}
	r.RanWell = stored.RanWell
	for _, e := range stored.Ends {
		if e.AgeMilli < 0 {
			return r, &operator.FieldError{Field: "age-milli", Want: "0 or more", Got: strconv.FormatInt(e.AgeMilli, 10)}
		}
		r.Ends = append(r.Ends, quarantine.End{Server: e.Server, Age: time.Duration(e.AgeMilli) * time.Millisecond})
	}
	return r, nil
}

func (v *quarantineStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, quarantineInterval)
		var list []steering.Condemnation
		v.daemon.withKernel(func(k *steering.Kernel, now time.Time) { list = k.Condemned(now) })
		if err := v.reconcile(ctx, list[:min(len(list), maxQuarantineEntries)]); err != nil {
			klog.InfoS("verdicts not stored yet", "condemned", len(list), "error", err.Error())
			sleep.For(ctx, quarantineRetryDelay)
		}
	}
}

// reconcile stores what is not stored, renews what this proxy has stored, and takes back what
// is no longer condemned.
func (v *quarantineStore) reconcile(ctx context.Context, list []steering.Condemnation) error {
	condemned := make(map[quarantine.Work]bool, len(list))
	for _, c := range list {
		condemned[c.Work] = true
		if !v.shouldStore(c) {
			continue
		}
		if err := v.storeEntry(ctx, c.Report); err != nil {
			return err
		}
	}
	v.dropMissingSince(condemned)
	for work, own := range v.ownedLeases() {
		if err := v.maintainLease(ctx, work, own, condemned[work]); err != nil {
			return err
		}
	}
	return nil
}

// shouldStore reports whether this proxy should store a verdict now: the first in rank at once,
// each other if those before it have not.
func (v *quarantineStore) shouldStore(c steering.Condemnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stored[c.Work] {
		delete(v.missingSince, c.Work)
		return false
	}
	now := v.daemon.now()
	since, known := v.missingSince[c.Work]
	if !known {
		v.missingSince[c.Work], since = now, now
	}
	return now.Sub(since) >= time.Duration(c.Rank)*quarantineInterval
}

func (v *quarantineStore) dropMissingSince(condemned map[quarantine.Work]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for work := range v.missingSince {
		if !condemned[work] {
			delete(v.missingSince, work)
		}
	}
}

func (v *quarantineStore) storeEntry(ctx context.Context, r quarantine.Report) error {
	stored := quarantineEntry{Work: r.Work, RanWell: r.RanWell}
	for _, e := range r.Ends {
		if !e.Cleared {
			stored.Ends = append(stored.Ends, quarantineCrash{Server: e.Server, AgeMilli: e.Age.Milliseconds()})
		}
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "verdict")
	}
	lease, err := v.store.GrantLease(ctx, quarantineTTL)
	if err != nil {
		return err
	}
	if err := v.store.Put(ctx, quarantineKeyPrefix+r.Work.String(), data, lease); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored[r.Work] = true
	v.owned[r.Work] = ownedLease{id: lease, renewedAt: v.daemon.now()}
	return nil
}

func (v *quarantineStore) ownedLeases() map[quarantine.Work]ownedLease {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make(map[quarantine.Work]ownedLease, len(v.owned))
	for work, own := range v.owned {
		list[work] = own
	}
	return list
}

// maintainLease renews or ends an own verdict's lease. One that the store no longer knows is
// stored again by whoever is first to miss it.
func (v *quarantineStore) maintainLease(ctx context.Context, work quarantine.Work, own ownedLease, condemned bool) error {
	now := v.daemon.now()
	var err error
	switch {
	case !condemned:
		err = v.store.RevokeLease(ctx, own.id)
	case now.Sub(own.renewedAt) < quarantineRenewInterval:
		return nil
	default:
		err = v.store.RenewLease(ctx, own.id)
	}
	var refused *StoreError
	gone := errors.As(err, &refused) && refused.Code == StoreNotFound
	if err != nil && !gone {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !condemned || gone {
		delete(v.owned, work)
		return nil
	}
	v.owned[work] = ownedLease{id: own.id, renewedAt: now}
	return nil
}
