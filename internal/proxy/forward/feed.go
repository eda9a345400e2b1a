package forward

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// absentFor is how long such a registration is waited for. Live servers
	// are back within about two seconds of the store's return.
	absentFor = 2200 * time.Millisecond

	memberPrefix = "gypsumquay/proxies/"
)

type (
	// feed keeps the copy of the store and brings its changes to the kernel.
	feed struct {
		daemon *Daemon

		mu   sync.Mutex
		copy *replica.Copy
		// allowance bounds the whole copies given to peers.
		allowance replica.Allowance
		members   map[string]member
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

	// member is a proxy's own entry in the store.
	member struct {
		Name    string         `json:"name"`
		Domain  string         `json:"failure-domain"`
		Region  string         `json:"region"`
		Callers netip.AddrPort `json:"callers"`
		Peers   netip.AddrPort `json:"peers"`
		// Operators is where the command line asks.
		Operators netip.AddrPort `json:"operators"`
		// LinkMbps is how wide its link is, in Mbit/s; zero if not known.
		LinkMbps int  `json:"link-mbps,omitempty"`
		Leaving  bool `json:"leaving,omitempty"`
	}
)

func newFeed(d *Daemon) *feed {
	return &feed{
		daemon: d, copy: replica.NewCopy(), members: make(map[string]member),
		rewrite: make(chan struct{}, 1), begun: make(chan struct{}),
	}
}

// apply takes a delta in and reports whether the copy advanced.
func (f *feed) apply(d replica.Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.copy.Revision()
	changed, ok := f.copy.Apply(f.daemon.now(), d)
	if !ok {
		return false
	}
	f.tellProxies(changed)
	for _, e := range changed {
		f.tell(e, d.Doubtful)
	}
	f.beginOnce.Do(func() { close(f.begun) })
	return f.copy.Revision() > before
}

// tell brings one change to the kernel. A removal is doubtful if the entry may
// have run out while the store was away.
func (f *feed) tell(e replica.Entry, doubtful bool) {
	n := f.daemon.seams.Names
	if e.Key == n.Configuration {
		f.tellTable(e)
		return
	}
	if domain, ok := strings.CutPrefix(e.Key, n.Evacuations); ok {
		f.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetEvacuated(now, domain, !e.Removed) })
		return
	}
	if id, ok := strings.CutPrefix(e.Key, n.Servers); ok {
		f.tellServer(id, e, doubtful)
	}
}

func (f *feed) tellTable(e replica.Entry) {
	if e.Removed {
		return
	}
	t, err := f.daemon.seams.Codec.Table(e.Value)
	if err != nil {
		klog.ErrorS(err, "configuration refused; the one before stays in force")
		return
	}
	f.daemon.do(func(k *steering.Kernel, _ time.Time) { k.SetTable(t) })
}

// tellServer brings a registration to the kernel. One whose removal is doubtful
// is waited for, or all servers would vanish at once after an outage; any other
// has left, and would get requests for too long.
func (f *feed) tellServer(id string, e replica.Entry, doubtful bool) {
	if e.Removed {
		f.daemon.do(func(k *steering.Kernel, now time.Time) {
			if doubtful {
				k.ServerAbsent(id, now.Add(absentFor))
				return
			}
			k.RemoveServer(id)
		})
		return
	}
	r, err := f.daemon.seams.Codec.Server(id, e.Value)
	if err != nil {
		klog.ErrorS(err, "registration refused", "server", id)
		return
	}
	f.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetServer(now, r) })
}

func (f *feed) hearMember(name string, e replica.Entry) {
	if e.Removed {
		delete(f.members, name)
		if name == f.daemon.settings.Name {
			f.writeSoon()
		}
		klog.InfoS("proxy gone", "proxy", name)
		return
	}
	var m member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		klog.ErrorS(err, "proxy's entry refused", "proxy", name)
		return
	}
	f.members[name] = m
	klog.InfoS("proxy known", "proxy", name, "failure-domain", m.Domain)
}

// tellProxies takes in the changes of proxies' entries. It comes before the
// servers: a proxy that knew a cold server and no other proxy would send it all
// that it bears.
func (f *feed) tellProxies(changed []replica.Entry) {
	heard := false
	for _, e := range changed {
		if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
			f.hearMember(name, e)
			heard = true
		}
	}
	if heard {
		f.listProxies()
	}
}

// listProxies brings the list of live proxies to the kernel.
func (f *feed) listProxies() {
	list := make([]steering.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steering.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, Address: m.Callers, Leaving: m.Leaving})
	}
	f.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetProxies(now, list) })
}

// hear takes in a proxy's own word that it leaves.
func (f *feed) hear(name string, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[name]
	if known && leaving && !m.Leaving {
		m.Leaving = true
		f.members[name] = m
		f.listProxies()
	}
}

// since is what a peer at a revision lacks; without anything newer, or where the
// peer needs more than may be given away now, it tells the own revision and age
// alone. A peer that sees a newer revision and gets no news asks elsewhere.
func (f *feed) since(revision uint64) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.daemon.now()
	hello := replica.Delta{Base: f.copy.Ask(), Revision: f.copy.Ask(), Age: f.copy.Age(now)}
	if f.copy.Revision() <= revision {
		return hello
	}
	d := f.copy.Since(now, revision)
	d.Doubtful = f.outage.Doubtful(now)
	if d.Whole && !f.allowance.Take(now, d.Cost()) {
		return hello
	}
	return d
}

// age is how long ago the copy was known to be the store's state.
func (f *feed) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Age(f.daemon.now())
}

// proxies lists the known proxies for operators.
func (f *feed) proxies() []steeringhttp.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]steeringhttp.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steeringhttp.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, Operators: m.Operators, Leaving: m.Leaving})
	}
	slices.SortFunc(list, func(a, b steeringhttp.Proxy) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (f *feed) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Revision()
}

// rank is this proxy's place among those of its region.
func (f *feed) rank() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []replica.Candidate
	for _, m := range f.members {
		if m.Region == f.daemon.settings.Region && !m.Leaving {
			list = append(list, replica.Candidate{Name: m.Name, LinkMbps: m.LinkMbps})
		}
	}
	return replica.Rank(f.daemon.settings.Name, list)
}

// follows reports whether this proxy should ask the store itself. One that has
// begun to, because no news came, goes on until a peer of its region has a fresh
// copy. Its own answers keep its copy fresh, and if it stopped at each it would
// hear nothing for two seconds after it.
func (f *feed) follows() bool {
	rank, age := f.rank(), f.age()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.daemon.now().Sub(f.nearAt)
	f.alone = replica.Follows(rank, age) || f.alone && replica.Follows(rank, since)
	return f.alone
}

// hearAge notes how fresh a peer's copy is.
func (f *feed) hearAge(name string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[name]
	if known && m.Region == f.daemon.settings.Region && replica.Fresh(age) {
		f.nearAt = f.daemon.now()
	}
}

// failed notes a call to the store, begun at a moment, that was not answered. One
// that ran out of time found the store away from its beginning.
func (f *feed) failed(err error, began time.Time) {
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
func (f *feed) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage.Answered(f.daemon.now()) {
		klog.InfoS("store regained", "revision", f.copy.Revision())
	}
}

// ownDelta is what the store itself told, from a revision on.
func (f *feed) ownDelta(d replica.Delta) replica.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Doubtful = f.outage.Doubtful(f.daemon.now())
	return d
}

func (f *feed) writeSoon() {
	select {
	case f.rewrite <- struct{}{}:
	default:
	}
}
