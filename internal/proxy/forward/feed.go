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
		// allowance bounds the whole copies given to peers.
		allowance replica.Allowance
		members   map[string]proxyEntry
		// changed counts the changes of members.
		changed int
		// listedAt is when the kernel was last told who is alive, unlisted whether it
		// has not heard of a change since.
		listedAt time.Time
		unlisted bool
		// nearAt is when a peer of the own region last had a copy fresh enough
		// that nobody else need ask the store; alone is set while this proxy
		// asks because none has.
		nearAt time.Time
		alone  bool
		// outage is when the store was away.
		outage replica.Outage
		// rewrite asks for the own entry to be written again.
		rewrite chan struct{}
		// begun is closed once something is known.
		begun     chan struct{}
		beginOnce sync.Once
	}
)

func newStoreReplica(d *Daemon) *storeReplica {
	return &storeReplica{
		daemon: d, copy: replica.NewCopy(), members: make(map[string]proxyEntry),
		rewrite: make(chan struct{}, 1), begun: make(chan struct{}),
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
	f.tellProxies(changed)
	for _, e := range changed {
		f.tell(e)
	}
	f.beginOnce.Do(func() { close(f.begun) })
	return f.copy.Revision() > before
}

// tell brings one change to the kernel.
func (f *storeReplica) tell(e replica.Entry) {
	n := f.daemon.deps.Names
	switch e.Key {
	case n.ConfigurationKey:
		f.tellTable(e)
		return
	case fleetSizeKey:
		f.daemon.quotas.hear(e)
		return
	}
	if domain, ok := strings.CutPrefix(e.Key, n.EvacuationPrefix); ok {
		if err := f.checkDomain(domain, ""); err != nil && !e.Removed {
			f.refused("evacuation", domain, err)
			return
		}
		f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.SetEvacuated(now, domain, !e.Removed) })
		return
	}
	if name, ok := strings.CutPrefix(e.Key, quarantineKeyPrefix); ok {
		f.daemon.quarantine.hear(name, e)
		return
	}
	if id, ok := strings.CutPrefix(e.Key, n.ServerPrefix); ok {
		f.tellServer(id, e)
	}
}

func (f *storeReplica) tellTable(e replica.Entry) {
	if e.Removed {
		return
	}
	t, err := f.daemon.deps.Codec.DecodeTable(e.Value)
	if err != nil {
		f.refused("configuration", "", err)
		return
	}
	f.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.SetTable(t) })
}

// tellServer brings a registration to the kernel. One whose removal is doubtful
// is waited for, or all servers would vanish at once after an outage; any other
// has left, and would get requests for too long. An entry that cannot be read, or
// that stands in no known failure domain, names no server to use: what stood there
// before no longer holds.
func (f *storeReplica) tellServer(id string, e replica.Entry) {
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
		f.refused("server", id, err)
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

// refused tells of an entry that another program wrote and that names nothing to
// use, once for each time that it is written.
func (f *storeReplica) refused(kind, name string, err error) {
	f.daemon.metrics.entryRefused(kind)
	klog.ErrorS(err, "entry refused", "kind", kind, "name", name)
}

// since is what a peer at a revision lacks; without anything newer, or where the
// peer needs more than may be given away now, it tells the own revision and age
// alone. A peer that sees a newer revision and gets no news asks elsewhere.
func (f *storeReplica) since(revision uint64) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	hello := replica.Delta{Base: f.copy.Ask(), Revision: f.copy.Ask(), Age: f.copy.Age(now)}
	if f.copy.Revision() <= revision {
		return hello
	}
	d := f.copy.Since(now, revision)
	if d.Whole && !f.allowance.Take(now, d.Cost()) {
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

// follows reports whether this proxy should ask the store itself. One that has
// begun to, because no news came, goes on until a peer of its region has a fresh
// copy. Its own answers keep its copy fresh, and if it stopped at each it would
// hear nothing for two seconds after it.
func (f *storeReplica) follows() bool {
	rank, age := f.rank(), f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now().Sub(f.nearAt)
	f.alone = replica.Follows(rank, age) || f.alone && replica.Follows(rank, since)
	return f.alone
}

// failed notes a call to the store, begun at a moment, that was not answered. One
// that ran out of time found the store away from its beginning.
func (f *storeReplica) failed(err error, began time.Time) {
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

// answered notes that the store answered a call.
func (f *storeReplica) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage.Answered(f.daemon.now()) {
		klog.InfoS("store regained", "revision", f.copy.Revision())
	}
}

// applyOwn takes in what the store itself told and reports whether the copy
// advanced.
func (f *storeReplica) applyOwn(d replica.Delta) bool {
	f.answered()
	f.mu.Lock()
	d.Doubtful = f.outage.Doubtful(f.daemon.now())
	f.mu.Unlock()
	return f.apply(d)
}

func (f *storeReplica) writeSoon() {
	select {
	case f.rewrite <- struct{}{}:
	default:
	}
}
