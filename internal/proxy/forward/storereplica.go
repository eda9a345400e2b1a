package forward

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// absenceGracePeriod is how long a server is waited for whose registration may have
	// run out in an outage. Live ones are back within about two seconds of the
	// store's return.
	absenceGracePeriod = 2200 * time.Millisecond

	proxyKeyPrefix      = "gypsumquay/proxies/"
	quarantineKeyPrefix = "gypsumquay/condemned/"
)

type (
	// storeReplica keeps the copy of the store and brings its changes to the kernel.
	storeReplica struct {
		daemon *Daemon

		mu   sync.Mutex
		copy *replica.Copy
		// fullCopyBudget bounds the whole copies given to peers.
		fullCopyBudget replica.Allowance
		members        map[string]proxyEntry
		// membershipChanges counts the changes of members.
		membershipChanges int
		// proxiesSetAt is when the kernel was last told who is alive, unlisted whether it
		// has not heard of a change since.
		proxiesSetAt time.Time
		proxiesStale bool
		// peerFreshAt is when a peer of the own region last had a copy fresh enough
		// that nobody else need ask the store; alone is set while this proxy
		// asks because none has.
		peerFreshAt  time.Time
		followsAlone bool
		// outage is when the store was away.
		outage replica.Outage
		// rewriteEntry asks for the own entry to be written again.
		rewriteEntry chan struct{}
		// loaded is closed once something is known.
		loaded     chan struct{}
		loadedOnce sync.Once
	}
)

func newStoreReplica(d *Daemon) *storeReplica {
	return &storeReplica{
		daemon: d, copy: replica.NewCopy(), members: make(map[string]proxyEntry),
		rewriteEntry: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
}

// apply takes a delta in and reports whether the copy advanced.
func (f *storeReplica) apply(d replica.Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.copy.Revision()
	changed, ok := f.copy.Apply(f.daemon.now(), d)
	if !ok {
		return false
	}
	f.dispatchProxies(changed)
	for _, e := range changed {
		f.dispatch(e)
	}
	f.loadedOnce.Do(func() { close(f.loaded) })
	return f.copy.Revision() > before
}

// dispatch brings one change to the kernel.
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
		f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.SetEvacuated(now, domain, !e.Removed) })
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
}

// dispatchServer brings a registration to the kernel. One whose removal is doubtful
// is waited for, or all servers would vanish at once after an outage; any other
// has left, and would get requests for too long. An entry that cannot be read, or
// that stands in no known failure domain, names no server to use: what stood there
// before no longer holds.
func (f *storeReplica) dispatchServer(id string, e replica.Entry) {
	if e.Removed {
		f.daemon.withKernel(func(k *steering.Kernel, now time.Time) {
			if e.Doubtful {
				k.ServerAbsent(id, now.Add(absenceGracePeriod))
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
		f.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.ServerUnreadable(id) })
		return
	}
	f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.SetServer(now, r) })
}

// checkDomain refuses a failure domain that is in no region, or not in the one
// named: nobody could say whom what stands there may serve.
func (f *storeReplica) checkDomain(domain, region string) error {
	in, known := f.daemon.settings.RegionOf[domain]
	switch {
	case !known:
		return &operator.FieldError{Field: "failure-domain", Want: "one of the settings", Got: strconv.Quote(domain)}
	case region != "" && region != in:
		return &operator.FieldError{Field: "region", Want: strconv.Quote(in) + ", which the failure domain is in", Got: strconv.Quote(region)}
	}
	return nil
}

// rejectEntry tells of an entry that another program wrote and that names nothing to
// use, once for each time that it is written.
func (f *storeReplica) rejectEntry(kind, name string, err error) {
	f.daemon.metrics.recordRejectedEntry(kind)
	klog.ErrorS(err, "entry refused", "kind", kind, "name", name)
}

// deltaSince is what a peer at a revision lacks; without anything newer, or where the
// peer needs more than may be given away now, it tells the own revision and age
// alone. A peer that sees a newer revision and gets no news asks elsewhere.
func (f *storeReplica) deltaSince(revision uint64) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	hello := replica.Delta{Base: f.copy.Ask(), Revision: f.copy.Ask(), Age: f.copy.Age(now)}
	if f.copy.Revision() <= revision {
		return hello
	}
	d := f.copy.Since(now, revision)
	if d.Whole && !f.fullCopyBudget.Take(now, d.Cost()) {
		return hello
	}
	return d
}

// age is how long ago the copy was known to be the store's state.
func (f *storeReplica) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Age(f.daemon.now())
}

func (f *storeReplica) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Revision()
}

// shouldFollowStore reports whether this proxy should ask the store itself. One that has
// begun to, because no news came, goes on until a peer of its region has a fresh
// copy. Its own answers keep its copy fresh, and if it stopped at each it would
// hear nothing for two seconds after it.
func (f *storeReplica) shouldFollowStore() bool {
	rank, age := f.rank(), f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now().Sub(f.peerFreshAt)
	f.followsAlone = replica.Follows(rank, age) || f.followsAlone && replica.Follows(rank, since)
	return f.followsAlone
}

// storeFailed notes a call to the store, begun at a moment, that was not answered. One
// that ran out of time found the store away from its beginning.
func (f *storeReplica) storeFailed(err error, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now()
	if errors.Is(err, context.DeadlineExceeded) {
		since = began
	}
	if f.outage.Failed(since) {
		klog.InfoS("store lost", "error", err.Error(), "revision", f.copy.Revision())
	}
}

// storeResponded notes that the store answered a call.
func (f *storeReplica) storeResponded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage.Answered(f.daemon.now()) {
		klog.InfoS("store regained", "revision", f.copy.Revision())
	}
}

// applyStoreRead takes in what the store itself told and reports whether the copy
// advanced.
func (f *storeReplica) applyStoreRead(d replica.Delta) bool {
	f.storeResponded()
	f.mu.Lock()
	d.Doubtful = f.outage.Doubtful(f.daemon.now())
	f.mu.Unlock()
	return f.apply(d)
}

func (f *storeReplica) requestRewrite() {
	select {
	case f.rewriteEntry <- struct{}{}:
	default:
	}
}
