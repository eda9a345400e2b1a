package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// watchTimeout is how long one watch waits for a change. An answer without
	// changes confirms the copy, so this bounds how old a relay's copy is.
	watchTimeout = 1500 * time.Millisecond
	// standbyWatchTimeout is that of the further relays. They hear of changes as soon,
	// but need not confirm the copy while the first relay does.
	standbyWatchTimeout = 5 * time.Second
	// watchBatchDelay is the pause after a change: changes come in series, and each
	// answered watch is a call that is paid for. It is a sixth of the time
	// in which a drained server must get nothing more.
	watchBatchDelay = 400 * time.Millisecond
	// seedTimeout is how long a proxy waits for a seed's copy at the first
	// start of a whole fleet, before it reads the store itself: one reading a
	// proxy would be most of the calls then. A proxy that starts later reads at
	// once, for callers already come to it and hear "not now" until it knows.
	seedTimeout = 1200 * time.Millisecond
	// staleReadAge is what a stale reading counts for in the age of a copy. It may be older
	// by seconds; peers tell the rest in the next two exchanges, and if they don't, this
	// proxy follows the store a second later.
	staleReadAge = time.Second
	// followCheckInterval is how often a proxy that is no relay looks whether it
	// must ask the store itself.
	followCheckInterval = 200 * time.Millisecond
	// minRetryBackoff and maxBackoff bound the pause after a failed call; maxNonRelayBackoff
	// is the longest of proxies that are no relays. They hear of the store's
	// return from the relays.
	minRetryBackoff    = 100 * time.Millisecond
	maxRetryBackoff    = time.Second
	maxNonRelayBackoff = 4 * time.Second
)

type (
	// storeWatcher brings the store's changes into the copy while this proxy is
	// a relay, or when no relay's news arrives.
	storeWatcher struct {
		replica *storeReplica
		store   Store
		// onAdvance is called when the store told something new, confirmed when it told
		// that nothing has changed.
		onAdvance   func(before uint64)
		onUnchanged func()
	}
)

func (f *storeWatcher) run(ctx context.Context) {
	f.waitForSeed(ctx)
	pause := minRetryBackoff
	for ctx.Err() == nil {
		if !f.replica.shouldFollowStore() {
			sleep.For(ctx, followCheckInterval)
			continue
		}
		began := f.replica.daemon.now()
		if err := f.step(ctx); err != nil {
			f.replica.storeFailed(err, began)
			sleep.For(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, f.maxBackoff())
			continue
		}
		pause = minRetryBackoff
	}
}

// maxBackoff is the longest pause after a failed call.
func (f *storeWatcher) maxBackoff() time.Duration {
	if f.replica.rank() < replica.Relays {
		return maxRetryBackoff
	}
	return maxNonRelayBackoff
}

// waitForSeed waits a while for a copy from a seed when the whole fleet starts,
// unless this proxy is a seed.
func (f *storeWatcher) waitForSeed(ctx context.Context) {
	settings := f.replica.daemon.settings
	if !settings.FirstStart || len(settings.Seeds) == 0 || slices.Contains(settings.Seeds, settings.Listen.Peers) {
		return
	}
	end := f.replica.daemon.now().Add(seedTimeout)
	for ctx.Err() == nil && f.replica.revision() == 0 && f.replica.daemon.now().Before(end) {
		sleep.For(ctx, minRetryBackoff)
	}
}

// step reads everything the first time and follows the changes after that.
func (f *storeWatcher) step(ctx context.Context) error {
	before := f.replica.revision()
	if before == 0 {
		return f.initialRead(ctx)
	}
	items, err := f.store.Watch(ctx, "", before, f.timeout())
	var refused *StoreError
	if errors.As(err, &refused) && refused.Code == StoreCompacted {
		return f.readAll(ctx, false)
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	f.replica.applyStoreRead(replica.Delta{Base: before, Revision: lastRevision(before, items), Entries: replicaEntries(items)})
	if len(items) > 0 {
		// Also if an exchange with another region brought them a moment before:
		// the rest of this region may not have heard.
		f.onAdvance(before)
		sleep.For(ctx, watchBatchDelay)
		return nil
	}
	if f.replica.rank() == 0 {
		f.onUnchanged()
	}
	return nil
}

// lastRevision is the revision up to which a watch's answer is complete: that of its
// last change. The store's own revision is not taken, for a watch that heard
// nothing for a while names it without the changes that led to it, and they
// would be missed for good. From an older one the store says that its history
// is gone, and everything is read again.
func lastRevision(before uint64, items []KeyValue) uint64 {
	for _, i := range items {
		before = max(before, i.Revision)
	}
	return before
}

// timeout is how long this proxy's next watch should wait.
func (f *storeWatcher) timeout() time.Duration {
	if rank := f.replica.rank(); rank > 0 && rank < replica.Relays {
		return standbyWatchTimeout
	}
	return watchTimeout
}

// initialRead reads everything, unless a peer's copy comes first: that is a sixth
// of the size and one message, where the store needs a page for each 500 keys.
func (f *storeWatcher) initialRead(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.replica.loaded:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := f.readAll(ctx, f.replica.rank() >= replica.Relays); err != nil && f.replica.revision() == 0 {
		return err
	}
	return nil
}

// readAll reads everything. Only who follows the store needs it as it is now: the
// others hear the rest from their peers, and in a fleet of hundreds that starts their
// readings would be most of the calls.
func (f *storeWatcher) readAll(ctx context.Context, stale bool) error {
	before := f.replica.revision()
	items, revision, err := f.store.Range(ctx, "", stale)
	if err != nil {
		return errors.Wrap(err, "read all")
	}
	d := replica.Delta{Revision: revision, Whole: true, Entries: replicaEntries(items)}
	if stale {
		d.Age = staleReadAge
	}
	if f.replica.applyStoreRead(d) && before > 0 {
		// Nothing is news to others in a first reading: told all that came after
		// nothing, each would be sent everything.
		f.onAdvance(before)
	}
	return nil
}

func replicaEntries(items []KeyValue) []replica.Entry {
	list := make([]replica.Entry, 0, len(items))
	for _, i := range items {
		list = append(list, replica.Entry{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed})
	}
	return list
}
