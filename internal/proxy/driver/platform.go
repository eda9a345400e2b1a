package driver

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed watch.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// relayCheckInterval is how often a proxy that is not a relay checks whether it has become one.
	relayCheckInterval = time.Second
)

type (
	// Platform gives access to the platform: its key-value store, and function fields that wait for
	// a change of a key or of the list of VMs.
	Platform struct {
		kv.Store
		Watch    func(ctx context.Context, key kv.Key, after kv.Revision) (kv.Value, error)
		WatchVMs func(ctx context.Context, after uint64) (*kv.VMList, error)
	}

	// Watcher applies changes on the platform to the kernel while this proxy is a relay of its
	// failure domain.
	Watcher struct {
		driver   *Driver
		platform Platform
	}
)

// NewWatcher returns a watcher that applies changes to the kernel of d.
func NewWatcher(d *Driver, p Platform) *Watcher { return &Watcher{driver: d, platform: p} }

// Run watches the bundle, the assignment and the list of VMs until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	done := make(chan struct{}, 3)
	run := func(watch func(context.Context) error) {
		w.watchLoop(ctx, watch)
		done <- struct{}{}
	}
	go run(w.watchKey(kv.KeyBundle, w.applyBundle))
	go run(w.watchKey(kv.KeyAssignment, w.applyAssignment))
	go run(w.watchVMs())
	for range cap(done) {
		<-done
	}
}

// watchLoop repeats one watch. After failures it retries with exponential backoff and jitter, so
// that the relays do not all reconnect at once after an outage.
func (w *Watcher) watchLoop(ctx context.Context, watch func(context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !w.isRelay() {
			sleep.For(ctx, relayCheckInterval)
			continue
		}
		if err := watch(ctx); err != nil {
			klog.V(1).InfoS("platform watch failed", "error", err.Error())
			sleep.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
}

func (w *Watcher) isRelay() bool {
	relay := false
	w.driver.WithKernel(func(k *core.Kernel, _ time.Time) { relay = k.IsRelay() })
	return relay
}

// watchKey returns a function that watches one key. apply is called with each new value, or with
// nil data if the key is absent, and may return data to write in its place.
func (w *Watcher) watchKey(key kv.Key, apply func(time.Time, []byte) []byte) func(context.Context) error {
	after := kv.Revision(0)
	return func(ctx context.Context) error {
		sentAt := w.driver.Now()
		value, err := w.platform.Watch(ctx, key, after)
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		if value.Revision == after && after != 0 {
			return nil
		}
		after = value.Revision
		repair := apply(sentAt, value.Data)
		if repair == nil {
			return nil
		}
		// The platform's value is older than the one in force here, because the platform was
		// restored from a backup. Writing the newer value back keeps it in force.
		if _, err := w.platform.CompareAndSwap(ctx, key, value.Revision, repair); err != nil {
			return errors.Wrap(err, "write back "+string(key))
		}
		klog.InfoS("replaced an older value on the platform by the newer one", "key", key)
		return nil
	}
}

func (w *Watcher) applyBundle(_ time.Time, data []byte) []byte {
	var repair []byte
	w.driver.WithKernel(func(k *core.Kernel, now time.Time) {
		if len(data) > 0 {
			k.ApplyBundle(now, data)
		}
		repair = k.RepairBundle(data)
	})
	return repair
}

func (w *Watcher) applyAssignment(sentAt time.Time, data []byte) []byte {
	var repair []byte
	w.driver.WithKernel(func(k *core.Kernel, now time.Time) {
		a, err := kv.ParseAssignment(data)
		if err == nil {
			k.ApplyAssignment(now, a)
		}
		k.HandlePlatformReply(now, sentAt)
		repair = k.RepairAssignment(a)
	})
	return repair
}

func (w *Watcher) watchVMs() func(context.Context) error {
	after := uint64(0)
	return func(ctx context.Context) error {
		list, err := w.platform.WatchVMs(ctx, after)
		if err != nil {
			return err
		}
		after = list.Version
		w.driver.WithKernel(func(k *core.Kernel, now time.Time) { k.ApplyVMList(now, list) })
		return nil
	}
}

// StoreAssignment performs the kernel's action: it reads the stored assignment, compares its
// version and swaps it. apply is called with the assignment that is then stored, without waiting
// for the watch.
func StoreAssignment(ctx context.Context, s kv.Store, a core.StoreAssignment, apply func(*kv.Assignment)) {
	value, err := s.Get(ctx, kv.KeyAssignment)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return
	}
	if stored, err := kv.ParseAssignment(value.Data); err == nil {
		if stored.Version != a.ExpectedVersion {
			apply(stored)
			return
		}
	} else if a.ExpectedVersion != 0 {
		return
	}
	if _, err := s.CompareAndSwap(ctx, kv.KeyAssignment, value.Revision, a.Value.Encode()); err == nil {
		apply(a.Value)
	}
}
