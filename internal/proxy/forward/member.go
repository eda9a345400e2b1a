package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// leaseSpan is how long a proxy counts as alive without a renewal.
	// With the time until the next answer to callers it is under the seven
	// seconds after which none may name a proxy that is gone.
	leaseSpan = 5 * time.Second
	// renewEvery leaves one renewal to fail before the lease ends.
	renewEvery = 2 * time.Second
)

type (
	// keeper keeps the own entry in the store under a lease.
	keeper struct {
		feed  *feed
		store Store
		lease uint64
	}
)

func (k *keeper) run(ctx context.Context) {
	k.feed.writeSoon()
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	for ctx.Err() == nil {
		act := k.write
		select {
		case <-ctx.Done():
			return
		case <-k.feed.rewrite:
		case <-renew.C:
			if k.lease == 0 {
				continue
			}
			act = k.renew
		}
		if !k.feed.daemon.isStopping() {
			k.call(ctx, act)
		}
	}
}

// call makes one call and sees to it that the entry is written again if it is
// lost.
func (k *keeper) call(ctx context.Context, act func(context.Context) error) {
	began := k.feed.daemon.now()
	err := act(ctx)
	var refused *StoreError
	switch {
	case err == nil:
		k.feed.answered()
	case errors.As(err, &refused) && refused.Outcome == StoreAbsent:
		// The lease has ended, which only the store itself can tell.
		k.feed.answered()
		sleep.For(ctx, retryLeast)
		k.feed.writeSoon()
	default:
		k.feed.failed(err, began)
		sleep.For(ctx, retryLeast+rand.N(retryMost))
		k.feed.writeSoon()
	}
}

func (k *keeper) renew(ctx context.Context) error { return k.store.Renew(ctx, k.lease) }

func (k *keeper) write(ctx context.Context) error {
	lease, err := k.store.Grant(ctx, leaseSpan)
	if err != nil {
		return err
	}
	k.lease = lease
	s := k.feed.daemon.settings
	data, err := json.Marshal(member{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Callers: s.Listen.Callers, Peers: s.Listen.Peers,
		Operators: s.Listen.Operators, LinkMbps: s.LinkMbps,
	})
	if err != nil {
		return errors.Wrap(err, "own entry")
	}
	return k.store.Put(ctx, memberPrefix+s.Name, data, lease)
}

// leave takes the own entry back, so that callers are no longer sent here.
func (k *keeper) leave(ctx context.Context) {
	if k.lease == 0 {
		return
	}
	if err := k.store.End(ctx, k.lease); err != nil {
		klog.InfoS("own entry not taken back; it will run out", "error", err.Error())
	}
}
