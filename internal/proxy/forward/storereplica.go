package forward

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// evacuationGracePeriod is how long a failure domain stays evacuated whose evacuation the store
	// may have lost.
	evacuationGracePeriod = 5 * time.Second

	proxyKeyPrefix      = "gypsumquay/proxies/"
	quarantineKeyPrefix = "gypsumquay/condemned/"

	// storeSource is the source of changes that this proxy has read from the store itself. The source
	// of others is the name of the peer.
	storeSource = "store"
)

type (
	// storeReplica holds this proxy's copy of the store and applies its changes to the kernel.
	storeReplica struct {
		daemon *Daemon

		mu   sync.Mutex
		copy *replica.Copy
		// fullCopyBudget limits the full copies sent to peers.
		fullCopyBudget replica.FullCopyBudget
		members        map[string]proxyEntry
		// membershipChanges counts the changes of members, including proxies that start to leave.
		membershipChanges int
		// currentView is derived from members, and neighbors are chosen from neighborsView.
		currentView, neighborsView *peerView
		neighbors                  *replica.Neighbors
		// proxiesSetAt is when the kernel last got the list of live proxies; proxiesStale is set
		// if members have changed since.
		proxiesSetAt time.Time
		proxiesStale bool
		// listed is set while the list of live proxies contains this one.
		listed bool
		// peerFreshAt is when a peer of this region last had a copy so fresh that no other proxy
		// needs to query the store; followsAlone is set while this proxy queries the store because
		// no peer has one.
		peerFreshAt  time.Time
		followsAlone bool
		// copyOfferedAt is when a peer last reported that it has a copy, while this proxy has none.
		copyOfferedAt time.Time
		// suspended is set if the VM was suspended since the copy was last used.
		suspended atomic.Bool
		// onConfirm is called when tentative removals have become definite.
		onConfirm func()
		// firstEra is the era of the copy's first content, which messages of peers that report no era
		// are taken to be of.
		firstEra uint64
		// ownEntry is this proxy's entry as it was last written.
		ownEntry []byte
		// evacuationEnds holds when evacuations end whose entries may have been lost and be written
		// again, by failure domain.
		evacuationEnds map[string]time.Time
		// rewriteEntry asks the registrar to write this proxy's entry again.
		rewriteEntry chan struct{}
		// loaded is closed once the copy has any content.
		loaded     chan struct{}
		loadedOnce sync.Once
	}
)

func newStoreReplica(d *Daemon) *storeReplica {
	return &storeReplica{
		daemon: d, copy: replica.NewCopy(), members: make(map[string]proxyEntry), evacuationEnds: make(map[string]time.Time),
		rewriteEntry: make(chan struct{}, 1), loaded: make(chan struct{}), onConfirm: func() {},
		neighbors: replica.NewNeighbors(d.settings.Region, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// apply merges a delta from the store or a peer into the copy and reports whether the copy advanced.
func (f *storeReplica) apply(source string, d replica.Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	f.recordActivity(now)
	f.copy.Availability.Learn(now, d.Available)
	f.confirmRemovals(now, source)
	before := f.copy.Revision()
	changed, ok := f.copy.Apply(now, d)
	if !ok {
		return false
	}
	current := f.copy.Revision()
	if before == 0 {
		f.firstEra = current.Era()
	}
	f.dispatchProxies(changed)
	f.dispatchAll(source, changed)
	if !before.SameEra(current) {
		f.beginEra(before, current)
	}
	f.loadedOnce.Do(func() { close(f.loaded) })
	return f.copy.Revision() > before
}

// confirmRemovals applies the tentative removals that are definite by what this proxy knows now.
func (f *storeReplica) confirmRemovals(now time.Time, source string) {
	confirmed := f.copy.ConfirmRemovals(now)
	f.dispatchProxies(confirmed)
	f.dispatchAll(source, confirmed)
}

// dispatchAll applies changed entries other than those of proxies to the kernel.
func (f *storeReplica) dispatchAll(source string, changed []replica.Entry) {
	confirms := false
	for _, e := range changed {
		f.logServerChange(source, e)
		f.dispatch(e)
		confirms = confirms || e.Confirms
	}
	if confirms {
		f.onConfirm()
	}
}

// recordActivity records that this proxy is running, and whether it stood still before.
func (f *storeReplica) recordActivity(now time.Time) {
	f.copy.Availability.RecordActivity(now)
	if f.suspended.Swap(false) {
		f.copy.Availability.RecordStandstill(now)
	}
}

// beginEra handles that the store has returned from an older copy. What this proxy has written since
// that copy is lost and must be written again, also what its own copy of the store never had.
func (f *storeReplica) beginEra(before, current replica.Position) {
	klog.InfoS("store returned from an older copy", "before", before.String(), "now", current.String())
	f.daemon.metrics.storeErasBegun.Inc()
	f.daemon.quarantine.resetStored(func(key string) bool {
		_, present := f.copy.Get(key)
		return present
	})
	if _, present := f.copy.Get(fleetSizeKey); !present {
		f.daemon.quotas.resetStoredFleetSize()
	}
	if own, present := f.copy.Get(proxyKeyPrefix + f.daemon.settings.Name); !present || !bytes.Equal(own.Value, f.ownEntry) {
		f.requestRewrite()
	}
}

// setOwnEntry records this proxy's entry as it was written.
func (f *storeReplica) setOwnEntry(value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownEntry = value
}

// withEra assigns changes of a peer that reports no era to the era of this copy's first content, as
// peers of an earlier version ignore that the store has returned from an older copy.
func (f *storeReplica) withEra(d replica.Delta) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Revision.Era() != 0 || f.firstEra == 0 {
		return d
	}
	d.Base, d.Revision = d.Base.InEra(f.firstEra), d.Revision.InEra(f.firstEra)
	for i := range d.Entries {
		d.Entries[i].Revision = d.Entries[i].Revision.InEra(f.firstEra)
	}
	return d
}

// needsFullCopy reports whether a copy at the given position needs all entries of this one.
func (f *storeReplica) needsFullCopy(position replica.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.NeedsFullCopy(position)
}

// dispatch applies one changed entry to the kernel.
func (f *storeReplica) dispatch(e replica.Entry) {
	n := f.daemon.deps.Names
	switch e.Key {
	case n.ConfigurationKey:
		f.dispatchTable(e)
		return
	case fleetSizeKey:
		f.daemon.quotas.handleStoredFleetSize(e)
		return
	}
	if domain, ok := strings.CutPrefix(e.Key, n.EvacuationPrefix); ok {
		if err := f.checkDomain(domain, ""); err != nil && !e.Removed {
			f.rejectEntry("evacuation", domain, err)
			return
		}
		f.dispatchEvacuation(domain, e)
		return
	}
	if name, ok := strings.CutPrefix(e.Key, quarantineKeyPrefix); ok {
		f.daemon.quarantine.handleEntry(name, e)
		return
	}
	if id, ok := strings.CutPrefix(e.Key, n.ServerPrefix); ok {
		f.dispatchServer(id, e)
	}
}

// dispatchEvacuation applies the beginning or the end of an evacuation. If the entry may have been
// lost, the evacuation goes on until the operator had time to write it again.
func (f *storeReplica) dispatchEvacuation(domain string, e replica.Entry) {
	delete(f.evacuationEnds, domain)
	if e.Removed && e.Tentative {
		f.evacuationEnds[domain] = f.daemon.now().Add(evacuationGracePeriod)
		return
	}
	f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.SetDomainEvacuated(now, domain, !e.Removed) })
}

// tick applies what is due by now.
func (f *storeReplica) tick() {
	f.mu.Lock()
	f.recordActivity(f.daemon.now())
	f.mu.Unlock()
	f.flushProxies()
	f.endEvacuations()
}

// endEvacuations ends the evacuations whose entries have not been written again.
func (f *storeReplica) endEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for domain, end := range f.evacuationEnds {
		if !f.daemon.now().Before(end) {
			f.dispatchEvacuation(domain, replica.Entry{Removed: true})
		}
	}
}

func (f *storeReplica) dispatchTable(e replica.Entry) {
	if e.Removed {
		return
	}
	t, err := f.daemon.deps.Codec.DecodeTable(e.Value)
	if err != nil {
		f.rejectEntry("configuration", "", err)
		return
	}
	f.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.SetTable(t) })
	f.daemon.applyLimits(t.Limits)
}

// dispatchServer applies a server's registration to the kernel. A server whose removal is
// tentative is kept for a grace period, or all servers would vanish at once after an outage. Any
// other removed server has left and is dropped at once, or it would get requests for too long. An
// entry that cannot be decoded, or that names an unknown failure domain, makes the server
// unusable: its previous registration no longer holds.
func (f *storeReplica) dispatchServer(id string, e replica.Entry) {
	if e.Removed {
		f.daemon.withKernel(func(k *steering.Kernel, now time.Time) {
			if e.Tentative {
				k.MarkServerAbsent(id, e.KeepUntil)
				return
			}
			k.RemoveServer(now, id)
		})
		return
	}
	r, err := f.daemon.deps.Codec.DecodeServer(id, e.Value)
	if err == nil {
		err = f.checkDomain(r.Domain, "")
	}
	if err != nil {
		f.rejectEntry("server", id, err)
		f.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.MarkServerUnreadable(id) })
		return
	}
	f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.RegisterServer(now, r) })
}

// logServerChange logs from whom this proxy learned of a change to a server's registration. What the
// kernel then does with the server is logged as an event.
func (f *storeReplica) logServerChange(source string, e replica.Entry) {
	id, ok := strings.CutPrefix(e.Key, f.daemon.deps.Names.ServerPrefix)
	if !ok {
		return
	}
	if e.Removed {
		f.daemon.metrics.recordServerRemoval(source, e.Tentative)
	}
	if !f.daemon.decisionLog.allowChange("server-entry") {
		return
	}
	klog.InfoS("server entry changed", "server", id, "source", source, "revision", e.Revision.String(), "removed", e.Removed,
		"tentative", e.Tentative, "confirms", e.Confirms, "age", f.copy.Age(f.daemon.now()).String())
}

// checkDomain rejects a failure domain that belongs to no region, or not to the given one: it
// would be unknown which callers an entry there may serve.
func (f *storeReplica) checkDomain(domain, region string) error {
	actual, known := f.daemon.settings.RegionOf[domain]
	switch {
	case !known:
		return &operator.FieldError{Field: "failure-domain", Want: "one of the settings", Got: strconv.Quote(domain)}
	case region != "" && region != actual:
		return &operator.FieldError{Field: "region", Want: strconv.Quote(actual) + ", which the failure domain is in", Got: strconv.Quote(region)}
	}
	return nil
}

// rejectEntry counts and logs an invalid entry of the store, once each time that it is written.
func (f *storeReplica) rejectEntry(kind, name string, err error) {
	f.daemon.metrics.recordRejectedEntry(kind)
	klog.ErrorS(err, "invalid store entry ignored", "kind", kind, "name", name)
}

// deltaSince returns the changes that a peer at a revision lacks. If there are none, or the peer
// needs a full copy and the budget is used up, the delta has only this copy's revision and age. A
// peer that sees a newer revision without entries asks another proxy.
func (f *storeReplica) deltaSince(revision replica.Position) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	header := replica.Delta{Base: f.copy.RequestRevision(), Revision: f.copy.RequestRevision(), Age: f.copy.Age(now), Available: f.copy.Availability.Span(now)}
	if f.copy.Revision() <= revision {
		return header
	}
	if f.copy.NeedsFullCopy(revision) {
		if !f.fullCopyBudget.Allow(now, f.copy.CompressedSize()) {
			return header
		}
		f.daemon.metrics.fullCopiesSent.Inc()
	}
	return f.copy.Since(now, revision)
}

// copyExpected reports whether a proxy that began to wait for a peer's copy at the given time should
// go on: for seedTimeout, and then while peers report that they have one.
func (f *storeReplica) copyExpected(start time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	waited := now.Sub(start)
	return waited < seedTimeout || waited < maxSeedTimeout && now.Sub(f.copyOfferedAt) < seedTimeout
}

// age is the time since the copy was last known to match the store.
func (f *storeReplica) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Age(f.daemon.now())
}

func (f *storeReplica) revision() replica.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Revision()
}

// shouldFollowStore reports whether this proxy should query the store itself. A proxy that began
// to do so because no changes arrived continues until a peer of its region has a fresh copy: the
// store's responses keep its own copy fresh, and if it stopped after each of them, it would
// receive nothing for the next two seconds.
func (f *storeReplica) shouldFollowStore() bool {
	rank, age := f.rank(), f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now().Sub(f.peerFreshAt)
	f.followsAlone = replica.ShouldFollowStore(rank, age) || f.followsAlone && replica.ShouldFollowStore(rank, since)
	return f.followsAlone
}

// storeFailed records a failed call to the store that began at the given time. If the call timed
// out, the store counts as unavailable from the beginning of the call.
func (f *storeReplica) storeFailed(err error, start time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now()
	if errors.Is(err, context.DeadlineExceeded) {
		since = start
	}
	f.recordActivity(f.daemon.now())
	if f.copy.Availability.RecordFailure(start, since) {
		klog.InfoS("store unavailable", "error", err.Error(), "revision", f.copy.Revision().String())
	}
}

// storeResponded records that the store responded to a call.
func (f *storeReplica) storeResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	f.recordActivity(now)
	if f.copy.Availability.RecordSuccess(now) {
		klog.InfoS("store available again", "revision", f.copy.Revision().String())
	}
}

// applyStoreRead applies what a call that began at start has read from the store and reports whether
// the copy advanced.
func (f *storeReplica) applyStoreRead(start time.Time, d replica.Delta) bool {
	f.storeResponded()
	f.mu.Lock()
	now := f.daemon.now()
	if d.Age == 0 {
		// A stale read does not show that the store takes writes.
		f.copy.Availability.RecordRead(start, now)
	}
	d.TentativeRemovals = f.copy.Availability.RemovalsTentative(now)
	f.mu.Unlock()
	return f.apply(storeSource, d)
}

func (f *storeReplica) requestRewrite() {
	select {
	case f.rewriteEntry <- struct{}{}:
	default:
	}
}
