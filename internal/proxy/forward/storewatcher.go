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
	// watchTimeout is how long one watch waits for a change. A response without changes confirms
	// the copy, so this bounds the age of a relay's copy.
	watchTimeout = 1500 * time.Millisecond
	// standbyWatchTimeout is the watch timeout of the other relays. They learn of changes as
	// soon, but need not confirm the copy while the first relay does.
	standbyWatchTimeout = 5 * time.Second
	// watchBatchDelay is the pause after a change: changes come in bursts, and each completed
	// watch is a billed call. It is a sixth of the time within which a draining server must stop
	// receiving requests.
	watchBatchDelay = 400 * time.Millisecond
	// seedTimeout is how long a proxy waits for a seed's copy at the first start of a whole
	// fleet before it reads the store itself: a read by each proxy would make up most of the
	// store calls then. A proxy that starts later reads at once, since callers already send it
	// requests, which it must reject until it is configured.
	seedTimeout = 1200 * time.Millisecond
	// maxSeedTimeout is how long it waits while peers report that they have a copy. Each proxy that
	// has one may pass it on a few times, so the time grows with the logarithm of the fleet.
	maxSeedTimeout = 5 * seedTimeout
	// staleReadAge is the age assumed for a copy from a stale read. The copy may be seconds
	// older; peers supply the rest in the next two exchanges, and if they don't, this proxy
	// follows the store a second later.
	staleReadAge = time.Second
	// followCheckInterval is how often a proxy that is not a relay checks whether it must query
	// the store itself.
	followCheckInterval = 200 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failed call;
	// maxNonRelayBackoff is the upper bound for proxies that are not relays. They learn of the
	// store's recovery from the relays.
	minRetryBackoff    = 100 * time.Millisecond
	maxRetryBackoff    = time.Second
	maxNonRelayBackoff = 4 * time.Second
)

type (
	// storeWatcher applies the store's changes to the copy while this proxy is a relay, or while
	// no changes arrive from a relay.
	storeWatcher struct {
		replica *storeReplica
		store   Store
		// onAdvance is called when the store returned changes, onUnchanged when a watch of the
		// first relay ended without any.
		onAdvance   func(before replica.Position)
		onUnchanged func()
	}
)

func (f *storeWatcher) run(ctx context.Context) {
	f.waitForSeed(ctx)
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		if !f.replica.shouldFollowStore() {
			sleep.For(ctx, followCheckInterval)
			continue
		}
		start := f.replica.daemon.now()
		if err := f.step(ctx); err != nil {
			f.replica.storeFailed(err, start)
			sleep.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, f.maxBackoff())
			continue
		}
		backoff = minRetryBackoff
	}
}

// maxBackoff is the upper bound of the backoff after a failed call.
func (f *storeWatcher) maxBackoff() time.Duration {
	if f.replica.rank() < replica.RelaysPerRegion {
		return maxRetryBackoff
	}
	return maxNonRelayBackoff
}

// waitForSeed waits for a copy from a seed or from a peer that has one when the whole fleet starts,
// unless this proxy is a seed.
func (f *storeWatcher) waitForSeed(ctx context.Context) {
	settings := f.replica.daemon.settings
	if !settings.FirstStart || len(settings.Seeds) == 0 || slices.Contains(settings.Seeds, settings.Listen.Peers) {
		return
	}
	start := f.replica.daemon.now()
	for ctx.Err() == nil && f.replica.revision() == 0 && f.replica.copyExpected(start) {
		sleep.For(ctx, minRetryBackoff)
	}
}

// step reads everything if the copy is empty, and otherwise watches for changes once.
func (f *storeWatcher) step(ctx context.Context) error {
	before := f.replica.revision()
	if before == 0 {
		return f.initialRead(ctx)
	}
	start := f.replica.daemon.now()
	items, era, err := f.store.Watch(ctx, "", before.Revision(), f.timeout())
	var storeErr *StoreError
	if errors.As(err, &storeErr) && storeErr.Code == StoreCompacted {
		return f.readAll(ctx, false)
	}
	if err != nil {
		return errors.Wrap(err, "watch the store")
	}
	if era != 0 && era != before.Era() {
		// The store has returned from an older copy and given the revision out again, or has only
		// begun to report its era.
		return f.readAll(ctx, false)
	}
	entries := replicaEntries(items, before.Era())
	f.replica.applyStoreRead(start, replica.Delta{Base: before, Revision: lastRevision(before, entries), Entries: entries})
	if len(items) > 0 {
		// Called even if an exchange with another region brought the changes a moment before:
		// the rest of this region may not have them.
		f.onAdvance(before)
		sleep.For(ctx, watchBatchDelay)
		return nil
	}
	if f.replica.rank() == 0 {
		f.onUnchanged()
	}
	return nil
}

// lastRevision is the revision up to which a watch's response is complete: that of its last
// change. The store's own revision isn't used: a watch that missed changes for a while may return
// it without the changes that led to it, and they would be lost for good. If the next watch starts
// from an older revision, the store reports that its history is compacted, and everything is read
// again.
func lastRevision(before replica.Position, entries []replica.Entry) replica.Position {
	for _, e := range entries {
		before = max(before, e.Revision)
	}
	return before
}

// timeout is how long the next watch waits for a change.
func (f *storeWatcher) timeout() time.Duration {
	if rank := f.replica.rank(); rank > 0 && rank < replica.RelaysPerRegion {
		return standbyWatchTimeout
	}
	return watchTimeout
}

// initialRead reads everything, and is canceled if a peer's copy arrives first: that is a sixth of
// the size and one message, while the store needs a page for every 500 keys.
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
	if err := f.readAll(ctx, f.replica.rank() >= replica.RelaysPerRegion); err != nil && f.replica.revision() == 0 {
		return err
	}
	return nil
}

// readAll reads everything from the store. Only a proxy that follows the store needs the current
// state: the others receive the rest from their peers, and when a fleet of hundreds starts, their
// reads would make up most of the store calls.
func (f *storeWatcher) readAll(ctx context.Context, stale bool) error {
	before, start := f.replica.revision(), f.replica.daemon.now()
	items, position, err := f.store.Range(ctx, "", stale)
	if err != nil {
		return errors.Wrap(err, "read the store")
	}
	era := position.Era
	if era == 0 {
		era = before.Era()
	}
	d := replica.Delta{Revision: replica.NewPosition(era, position.Revision), Full: true, Entries: replicaEntries(items, era)}
	if stale {
		d.Age = staleReadAge
	}
	if d.Revision < before {
		// Without a pause, the watch and this read would alternate for as long as that lasts.
		return errors.Errorf("read the store: it is at %s, before the copy at %s", d.Revision, before)
	}
	if f.replica.applyStoreRead(start, d) && before > 0 {
		// A first read isn't propagated: relative to an empty copy, all entries are changes, and
		// each peer would be sent everything.
		f.onAdvance(before)
	}
	return nil
}

func replicaEntries(items []KeyValue, era uint64) []replica.Entry {
	list := make([]replica.Entry, 0, len(items))
	for _, i := range items {
		list = append(list, replica.Entry{Key: i.Key, Value: i.Value, Revision: replica.NewPosition(era, i.Revision), Removed: i.Removed})
	}
	return list
}
