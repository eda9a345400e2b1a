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
	// quarantineInterval is how often the quarantined requests are compared with the store, and
	// how long each proxy waits per proxy ranked before it for one of those to store an entry.
	quarantineInterval = time.Second
	// quarantineTTL is the lease of a stored entry: the longest that the store grants.
	quarantineTTL = 10 * time.Minute
	// quarantineRenewInterval allows one renewal to fail before the lease expires.
	quarantineRenewInterval = 4 * time.Minute
	// quarantineRetryDelay is the additional pause after a failed store call.
	quarantineRetryDelay = 5 * time.Second
	// maxQuarantineEntries bounds the stored entries.
	maxQuarantineEntries = 64
)

type (
	// quarantineStore keeps quarantined requests in the platform's store. All proxies may lose
	// power at once; without the stored entries, the requests would crash more servers after a
	// restart until they are detected again. Entries are rare: each costs two calls, made by one
	// proxy.
	quarantineStore struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// stored holds the request fingerprints known to have an entry in the store.
		stored map[quarantine.Fingerprint]bool
		// owned holds the leases of the entries that this proxy has stored.
		owned map[quarantine.Fingerprint]ownedLease
		// missingSince is when this proxy first saw that a quarantined request has no entry.
		missingSince map[quarantine.Fingerprint]time.Time
	}

	ownedLease struct {
		id        uint64
		renewedAt time.Time
	}

	// quarantineEntry is the stored record of a quarantined request.
	quarantineEntry struct {
		Fingerprint quarantine.Fingerprint `json:"work"`
		Crashes     []quarantineCrash      `json:"ends"`
		// Succeeded is set if the request had run successfully before.
		Succeeded bool `json:"ran-well,omitempty"`
	}

	quarantineCrash struct {
		Server quarantine.InstanceID `json:"server"`
		// AgeMilli is the age of the crash when the entry was stored, in milliseconds.
		AgeMilli int64 `json:"age-milli"`
	}
)

func newQuarantineStore(d *Daemon, s Store) *quarantineStore {
	return &quarantineStore{
		daemon: d, store: s, stored: make(map[quarantine.Fingerprint]bool),
		owned: make(map[quarantine.Fingerprint]ownedLease), missingSince: make(map[quarantine.Fingerprint]time.Time),
	}
}

// handleEntry applies a stored entry or its removal. A removal doesn't end the quarantine, since
// the lease may just have expired.
func (v *quarantineStore) handleEntry(name string, e replica.Entry) {
	var fingerprint quarantine.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(name)); err != nil {
		v.daemon.replica.rejectEntry("verdict", name, err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Removed {
		delete(v.stored, fingerprint)
		return
	}
	report, err := decodeQuarantineEntry(fingerprint, e.Value)
	if err != nil {
		v.daemon.replica.rejectEntry("verdict", name, err)
		return
	}
	v.stored[fingerprint] = true
	v.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.ApplyQuarantineReports(now, []quarantine.Report{report}) })
}

// resetStored records which entries are in the store after it has returned from an older copy.
func (v *quarantineStore) resetStored(isPresent func(key string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for fingerprint := range v.stored {
		if !isPresent(quarantineKeyPrefix + fingerprint.String()) {
			delete(v.stored, fingerprint)
		}
	}
}

func decodeQuarantineEntry(fingerprint quarantine.Fingerprint, data []byte) (quarantine.Report, error) {
	r := quarantine.Report{Fingerprint: fingerprint}
	if err := operator.CheckSyntax(data); err != nil {
		return r, err
	}
	var stored quarantineEntry
	if err := json.Unmarshal(data, &stored); err != nil {
		return r, errors.Wrap(err, "decode quarantine entry")
	}
	if stored.Fingerprint != fingerprint {
		return r, &operator.FieldError{Field: "work", Want: strconv.Quote(fingerprint.String()) + ", as in the key", Got: strconv.Quote(stored.Fingerprint.String())}
	}
	r.Succeeded = stored.Succeeded
	for _, e := range stored.Crashes {
		if e.AgeMilli < 0 {
			return r, &operator.FieldError{Field: "age-milli", Want: "0 or more", Got: strconv.FormatInt(e.AgeMilli, 10)}
		}
		r.Crashes = append(r.Crashes, quarantine.Crash{Server: e.Server, Age: time.Duration(e.AgeMilli) * time.Millisecond})
	}
	return r, nil
}

func (v *quarantineStore) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, quarantineInterval)
		var list []steering.QuarantinedWork
		v.daemon.withKernel(func(k *steering.Kernel, now time.Time) { list = k.QuarantinedWork(now) })
		if err := v.reconcile(ctx, list[:min(len(list), maxQuarantineEntries)]); err != nil {
			klog.InfoS("storing quarantined requests failed; retrying", "condemned", len(list), "error", err.Error())
			sleep.For(ctx, quarantineRetryDelay)
		}
	}
}

// reconcile stores missing entries, renews the leases of those that this proxy has stored, and
// revokes the leases for requests that are no longer quarantined.
func (v *quarantineStore) reconcile(ctx context.Context, list []steering.QuarantinedWork) error {
	quarantined := make(map[quarantine.Fingerprint]bool, len(list))
	for _, c := range list {
		quarantined[c.Fingerprint] = true
		if !v.shouldStore(c) {
			continue
		}
		if err := v.storeEntry(ctx, c.Report); err != nil {
			return err
		}
	}
	v.dropMissingSince(quarantined)
	for fingerprint, lease := range v.ownedLeases() {
		if err := v.maintainLease(ctx, fingerprint, lease, quarantined[fingerprint]); err != nil {
			return err
		}
	}
	return nil
}

// shouldStore reports whether this proxy should store an entry now: the proxy ranked first does so
// at once, each other one if those before it haven't.
func (v *quarantineStore) shouldStore(c steering.QuarantinedWork) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stored[c.Fingerprint] {
		delete(v.missingSince, c.Fingerprint)
		return false
	}
	now := v.daemon.now()
	since, known := v.missingSince[c.Fingerprint]
	if !known {
		v.missingSince[c.Fingerprint], since = now, now
	}
	return now.Sub(since) >= time.Duration(c.Rank)*quarantineInterval
}

func (v *quarantineStore) dropMissingSince(quarantined map[quarantine.Fingerprint]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for fingerprint := range v.missingSince {
		if !quarantined[fingerprint] {
			delete(v.missingSince, fingerprint)
		}
	}
}

func (v *quarantineStore) storeEntry(ctx context.Context, r quarantine.Report) error {
	stored := quarantineEntry{Fingerprint: r.Fingerprint, Succeeded: r.Succeeded}
	for _, e := range r.Crashes {
		if !e.Cleared {
			stored.Crashes = append(stored.Crashes, quarantineCrash{Server: e.Server, AgeMilli: e.Age.Milliseconds()})
		}
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode quarantine entry")
	}
	lease, err := v.store.GrantLease(ctx, quarantineTTL)
	if err != nil {
		return err
	}
	if err := v.store.Put(ctx, quarantineKeyPrefix+r.Fingerprint.String(), data, lease); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored[r.Fingerprint] = true
	v.owned[r.Fingerprint] = ownedLease{id: lease, renewedAt: v.daemon.now()}
	return nil
}

func (v *quarantineStore) ownedLeases() map[quarantine.Fingerprint]ownedLease {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make(map[quarantine.Fingerprint]ownedLease, len(v.owned))
	for fingerprint, lease := range v.owned {
		list[fingerprint] = lease
	}
	return list
}

// maintainLease renews or revokes the lease of an entry stored by this proxy. If the store no
// longer knows the lease, the first proxy to notice that the entry is missing stores it again.
func (v *quarantineStore) maintainLease(ctx context.Context, fingerprint quarantine.Fingerprint, lease ownedLease, quarantined bool) error {
	now := v.daemon.now()
	var err error
	switch {
	case !quarantined:
		err = v.store.RevokeLease(ctx, lease.id)
	case now.Sub(lease.renewedAt) < quarantineRenewInterval:
		return nil
	default:
		err = v.store.RenewLease(ctx, lease.id)
	}
	var storeErr *StoreError
	leaseLost := errors.As(err, &storeErr) && storeErr.Code == StoreNotFound
	if err != nil && !leaseLost {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !quarantined || leaseLost {
		delete(v.owned, fingerprint)
		return nil
	}
	v.owned[fingerprint] = ownedLease{id: lease.id, renewedAt: now}
	return nil
}
