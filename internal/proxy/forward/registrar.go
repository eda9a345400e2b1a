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
	// leaseTTL is how long a proxy counts as alive without a renewal.
	// With the time until the next answer to callers it is under the seven
	// seconds after which none may name a proxy that is gone.
	leaseTTL = 5 * time.Second
	// renewInterval leaves one renewal to fail before the lease ends.
	renewInterval = 2 * time.Second
	// minRegisterBackoff and maxRegisterBackoff bound the pause after a failed call. At the longest,
	// an outage of 8 s costs a handful of calls a proxy, and the entry is back
	// within two seconds or so of its end.
	minRegisterBackoff = 300 * time.Millisecond
	maxRegisterBackoff = 2 * time.Second
)

type (
	// registrar keeps the own entry in the store under a lease.
	registrar struct {
		replica *storeReplica
		store   Store
		// lease is zero for none. A planned stop reads it too.
		lease atomic.Uint64
		// writtenLimits is what the entry says of services that are held back.
		writtenLimits []steering.Held
		// written is set while the entry is taken to be there.
		written bool
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
		pause := minRegisterBackoff
		for ctx.Err() == nil && !k.replica.daemon.isStopping() && !k.ensureRegistered(ctx) {
			sleep.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxRegisterBackoff)
		}
	}
}

// writtenLimitsMatch reports whether the entry says which services are held back, and how far.
// How many answers speak for a limit changes all the time and is not worth a call.
func (k *registrar) writtenLimitsMatch(held []steering.Held) bool {
	return slices.EqualFunc(k.writtenLimits, held, func(a, b steering.Held) bool { return a.Service == b.Service && a.Slots == b.Slots && a.Most == b.Most })
}

// ensureRegistered makes the call that is due, or the two of a new entry, and reports whether
// the entry is there. A
// renewal that fails is made again and no new entry written: the lease may well
// be alive, and a renewal costs a tenth of a call.
func (k *registrar) ensureRegistered(ctx context.Context) bool {
	began := k.replica.daemon.now()
	act := k.renew
	switch {
	case k.lease.Load() == 0:
		act = k.grant
	case !k.written:
		act = k.write
	}
	err := act(ctx)
	var refused *StoreError
	switch {
	case err == nil:
		k.replica.storeResponded()
	case errors.As(err, &refused) && refused.Code == StoreNotFound:
		// The lease has ended, which only the store itself can tell.
		k.replica.storeResponded()
		k.lease.Store(0)
		k.written = false
	default:
		k.replica.storeFailed(err, began)
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
		Operators: s.Listen.Operators, LinkMbps: s.LinkMbps, Started: k.replica.daemon.startMillis(), Held: k.writtenLimits,
	})
	if err != nil {
		return errors.Wrap(err, "own entry")
	}
	err = k.store.Put(ctx, proxyKeyPrefix+s.Name, data, k.lease.Load())
	k.written = err == nil
	return err
}

// deregister takes the own entry back, so that callers are no longer sent here.
func (k *registrar) deregister(ctx context.Context) {
	lease := k.lease.Load()
	if lease == 0 {
		return
	}
	if err := k.store.RevokeLease(ctx, lease); err != nil {
		klog.InfoS("own entry not taken back; it will run out", "error", err.Error())
	}
}
