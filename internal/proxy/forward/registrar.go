package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// leaseTTL is how long a proxy counts as alive without a renewal. Together with the time
	// until a caller's next lookup it is less than the seven seconds after which no lookup
	// response may name a proxy that is gone.
	leaseTTL = 5 * time.Second
	// renewInterval allows one renewal to fail before the lease expires.
	renewInterval = 2 * time.Second
	// minRegisterBackoff and maxRegisterBackoff bound the backoff after a failed call. With this
	// maximum, an outage of 8 s costs a handful of calls per proxy, and the entry is restored
	// within about two seconds of its end.
	minRegisterBackoff = 300 * time.Millisecond
	maxRegisterBackoff = 2 * time.Second
)

type (
	// registrar maintains this proxy's entry in the store under a lease.
	registrar struct {
		replica *storeReplica
		store   Store
		// lease is zero if there is none. Atomic, since the shutdown reads it too.
		lease atomic.Uint64
		// writtenLimits are the learned limits in the entry.
		writtenLimits []steering.ServiceLimit
		// written is set while the entry is believed to be in the store. writtenLease is the lease
		// under which it was last written.
		written      bool
		writtenLease uint64
	}
)

func (k *registrar) run(ctx context.Context) {
	k.replica.requestRewrite()
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-k.replica.rewriteEntry:
			k.written = false
		case <-renew.C:
			k.written = k.written && k.writtenLimitsMatch(k.replica.daemon.learnedLimits())
		}
		backoff := minRegisterBackoff
		for ctx.Err() == nil && !k.replica.daemon.isStopping() && !k.ensureRegistered(ctx) {
			sleep.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxRegisterBackoff)
		}
	}
}

// writtenLimitsMatch reports whether the entry has the current limits of all services. The number
// of responses behind a limit is ignored: it changes all the time and isn't worth a store call.
func (k *registrar) writtenLimitsMatch(limits []steering.ServiceLimit) bool {
	return slices.EqualFunc(k.writtenLimits, limits, func(a, b steering.ServiceLimit) bool {
		return a.Service == b.Service && a.Slots == b.Slots && a.Max == b.Max
	})
}

// ensureRegistered makes the next store call, or the two that a new entry needs, and reports
// whether the entry is in the store. A failed renewal is retried instead of writing a new entry:
// the lease may still be valid, and a renewal costs a tenth of another call.
func (k *registrar) ensureRegistered(ctx context.Context) bool {
	start := k.replica.daemon.now()
	call := k.renew
	switch {
	case k.lease.Load() == 0:
		call = k.grant
	case !k.written:
		call = k.write
	}
	err := call(ctx)
	var storeErr *StoreError
	switch {
	case err == nil:
		k.replica.storeResponded()
	case errors.As(err, &storeErr) && storeErr.Code == StoreNotFound:
		// The lease has expired. Only the store reports that, so it counts as a response.
		k.replica.storeResponded()
		k.lease.Store(0)
		k.written = false
	default:
		k.replica.storeFailed(err, start)
	}
	return err == nil && k.written
}

func (k *registrar) renew(ctx context.Context) error { return k.store.RenewLease(ctx, k.lease.Load()) }

func (k *registrar) grant(ctx context.Context) error {
	lease, err := k.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	k.lease.Store(lease)
	return k.write(ctx)
}

func (k *registrar) write(ctx context.Context) error {
	s := k.replica.daemon.settings
	k.writtenLimits = k.replica.daemon.learnedLimits()
	data, err := json.Marshal(proxyEntry{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Callers: s.Listen.Callers, Peers: s.Listen.Peers,
		Operators: s.Listen.Operators, Handovers: s.Listen.Handovers, CutOff: k.replica.daemon.reachability.published(), LinkMbps: s.LinkMbps, Overflow: k.replica.daemon.overflow.currentLevel(), Started: k.replica.daemon.startMillis(), Held: k.writtenLimits,
	})
	if err != nil {
		return errors.Wrap(err, "encode own proxy entry")
	}
	lease := k.lease.Load()
	err = k.store.Put(ctx, proxyKeyPrefix+s.Name, data, lease)
	k.written = err == nil
	if k.written {
		k.replica.setOwnEntry(data)
	}
	if k.written && lease != k.writtenLease {
		k.writtenLease = lease
		k.replica.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.RecordRegistration(now) })
	}
	return err
}

// deregister revokes the lease, which removes this proxy's entry, so that callers are no longer
// sent here.
func (k *registrar) deregister(ctx context.Context) {
	lease := k.lease.Load()
	if lease == 0 {
		return
	}
	if err := k.store.RevokeLease(ctx, lease); err != nil {
		klog.InfoS("own entry not removed; its lease will expire", "error", err.Error())
	}
}
