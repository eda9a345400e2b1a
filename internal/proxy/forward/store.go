package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// gather is the pause after a change: changes come in series, and each
	// answered watch is a call that is paid for.
	gather = 300 * time.Millisecond
	// leaseSpan is how long a proxy is taken to be alive without a renewal.
	leaseSpan = 4 * time.Second
	// renewEvery leaves two renewals to fail before the lease ends.
	renewEvery = 1300 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// unsettledFor is how long after a failure of the store an absent
	// registration may be one that the outage dropped.
	unsettledFor = 6 * time.Second
	// absentFor is how long such a registration is waited for. Live servers
	// are back within about two seconds of the store's return.
	absentFor = 2200 * time.Millisecond

	memberPrefix = "gypsumquay/proxies/"
)

type (
	// storeSync keeps the kernel at what the store holds, and the own entry
	// in the store.
	storeSync struct {
		daemon *Daemon
		mu     sync.Mutex
		// failedAt is when a call failed last.
		failedAt time.Time
		members  map[string]member
		lease    uint64
		revision uint64
		lost     bool
		rewrite  chan struct{}
	}

	// member is a proxy's own entry in the store.
	member struct {
		Name    string         `json:"name"`
		Domain  string         `json:"failure-domain"`
		Region  string         `json:"region"`
		Callers netip.AddrPort `json:"callers"`
		Peers   netip.AddrPort `json:"peers"`
		Leaving bool           `json:"leaving,omitempty"`
	}
)

func newStoreSync(d *Daemon) *storeSync {
	return &storeSync{daemon: d, members: make(map[string]member), rewrite: make(chan struct{}, 1)}
}

func (s *storeSync) run(ctx context.Context) {
	go s.keepMember(ctx)
	pause := retryLeast
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err == nil {
			pause = retryLeast
			s.regained()
			continue
		}
		s.failed(err)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
}

// step reads everything once and follows the changes after that.
func (s *storeSync) step(ctx context.Context) error {
	store := s.daemon.seams.Store
	if s.revision == 0 {
		items, revision, err := store.Range(ctx, "")
		if err != nil {
			return errors.Wrap(err, "read all")
		}
		s.replace(items)
		s.revision = revision
		return nil
	}
	items, revision, err := store.Watch(ctx, "", s.revision, watchWait)
	var refused *StoreError
	if errors.As(err, &refused) && refused.Outcome == StoreForgot {
		s.revision = 0
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	for _, i := range items {
		s.apply(i)
	}
	s.revision = max(s.revision, revision)
	sleep(ctx, gather)
	return nil
}

func (s *storeSync) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = s.daemon.now()
	if !s.lost {
		s.lost = true
		klog.InfoS("store lost", "error", err.Error())
	}
}

func (s *storeSync) regained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		s.lost = false
		s.failedAt = s.daemon.now()
		klog.InfoS("store regained", "revision", s.revision)
	}
}

func (s *storeSync) unsettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedAt.IsZero() && s.daemon.now().Sub(s.failedAt) < unsettledFor
}

// replace takes in a whole reading: what it does not hold is gone.
func (s *storeSync) replace(items []Item) {
	held := make(map[string]bool, len(items))
	for _, i := range items {
		held[i.Key] = true
		s.apply(i)
	}
	n := s.daemon.seams.Names
	var absent []string
	s.daemon.do(func(k *steering.Kernel, _ time.Time) {
		for _, id := range k.Servers() {
			absent = append(absent, n.Servers+id)
		}
		for _, domain := range k.Evacuated() {
			absent = append(absent, n.Evacuations+domain)
		}
	})
	for name := range s.members {
		absent = append(absent, memberPrefix+name)
	}
	for _, key := range absent {
		if !held[key] {
			s.apply(Item{Key: key, Removed: true})
		}
	}
}

func (s *storeSync) apply(i Item) {
	n := s.daemon.seams.Names
	if i.Key == n.Configuration {
		s.applyTable(i)
		return
	}
	if domain, ok := strings.CutPrefix(i.Key, n.Evacuations); ok {
		s.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetEvacuated(now, domain, !i.Removed) })
		return
	}
	if id, ok := strings.CutPrefix(i.Key, n.Servers); ok {
		s.applyServer(id, i)
		return
	}
	if name, ok := strings.CutPrefix(i.Key, memberPrefix); ok {
		s.applyMember(name, i)
	}
}

func (s *storeSync) applyTable(i Item) {
	if i.Removed {
		return
	}
	t, err := s.daemon.seams.Codec.Table(i.Value)
	if err != nil {
		klog.ErrorS(err, "configuration refused; the one before stays in force")
		return
	}
	s.daemon.do(func(k *steering.Kernel, _ time.Time) { k.SetTable(t) })
}

func (s *storeSync) applyServer(id string, i Item) {
	if i.Removed {
		s.removeServer(id)
		return
	}
	r, err := s.daemon.seams.Codec.Server(id, i.Value)
	if err != nil {
		klog.ErrorS(err, "registration refused", "server", id)
		return
	}
	s.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetServer(now, r) })
}

// removeServer drops a server whose registration is gone. Shortly after a
// failure of the store the registration may have run out though the server is
// alive; it is waited for then, or all servers would vanish at once.
func (s *storeSync) removeServer(id string) {
	if !s.unsettled() {
		s.daemon.do(func(k *steering.Kernel, _ time.Time) { k.RemoveServer(id) })
		return
	}
	s.daemon.do(func(k *steering.Kernel, now time.Time) { k.ServerAbsent(id, now.Add(absentFor)) })
}

func (s *storeSync) applyMember(name string, i Item) {
	self := s.daemon.settings.Name
	if name == self && i.Removed {
		s.writeSoon()
	}
	if i.Removed {
		delete(s.members, name)
	} else {
		var m member
		if err := json.Unmarshal(i.Value, &m); err != nil {
			klog.ErrorS(err, "proxy's entry refused", "proxy", name)
			return
		}
		s.members[name] = m
	}
	list := make([]steering.Proxy, 0, len(s.members))
	for _, m := range s.members {
		list = append(list, steering.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, Address: m.Callers, Leaving: m.Leaving})
	}
	s.daemon.do(func(k *steering.Kernel, _ time.Time) { k.SetProxies(list) })
	klog.InfoS("proxies changed", "proxy", name, "alive", len(list), "removed", i.Removed)
}

func (s *storeSync) writeSoon() {
	select {
	case s.rewrite <- struct{}{}:
	default:
	}
}

// keepMember keeps the own entry in the store under a lease.
func (s *storeSync) keepMember(ctx context.Context) {
	s.writeSoon()
	renew := time.NewTicker(renewEvery)
	defer renew.Stop()
	for ctx.Err() == nil {
		var err error
		select {
		case <-ctx.Done():
			return
		case <-s.rewrite:
			err = s.writeMember(ctx)
		case <-renew.C:
			err = s.renewMember(ctx)
		}
		if err != nil {
			s.failed(err)
			s.writeSoon()
			sleep(ctx, retryLeast+rand.N(retryMost))
		}
	}
}

func (s *storeSync) renewMember(ctx context.Context) error {
	if s.daemon.isStopping() {
		return nil
	}
	return s.daemon.seams.Store.Renew(ctx, s.lease)
}

func (s *storeSync) writeMember(ctx context.Context) error {
	if s.daemon.isStopping() {
		return nil
	}
	lease, err := s.daemon.seams.Store.Grant(ctx, leaseSpan)
	if err != nil {
		return err
	}
	s.lease = lease
	set := s.daemon.settings
	data, err := json.Marshal(member{
		Name: set.Name, Domain: set.Domain, Region: set.Region, Callers: set.Listen.Callers, Peers: set.Listen.Peers,
	})
	if err != nil {
		return errors.Wrap(err, "own entry")
	}
	return s.daemon.seams.Store.Put(ctx, memberPrefix+set.Name, data, lease)
}

// leave takes the own entry back, so that callers are no longer sent here.
func (s *storeSync) leave(ctx context.Context) {
	if err := s.daemon.seams.Store.End(ctx, s.lease); err != nil {
		klog.InfoS("own entry not taken back; it will run out", "error", err.Error())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
