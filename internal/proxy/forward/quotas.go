package forward

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// fleetKey holds among how many proxies limits are divided. It has no lease: proxies
	// that have all lost power must not take the first few for all.
	fleetKey = "gypsumquay/fleet"
	// fleetEvery is how often the stored number is compared with the proxies known.
	fleetEvery = 300 * time.Millisecond
	// fleetSettles is how long a proxy must have known the same number before it stores a
	// larger one, fleetShrinks the same for a smaller one.
	fleetSettles = 1200 * time.Millisecond
	fleetShrinks = time.Minute
	// groupMost is how many proxies report to one pool at most.
	groupMost = 40
	// lendersMost is how many other pools are asked at a time.
	lendersMost = 4
	// askedMost is how many of them a request is asked of in turn.
	askedMost = 2
	// poolPause is how long a pool that did not answer unansweredMost reports in a row is
	// passed over. When a large fleet starts, pools and proxies are busy, and each change of
	// the pool costs the proxy its part for as long as it was given away.
	poolPause      = 2 * time.Second
	unansweredMost = 3
)

type (
	// quotas carry what the limits of client accounts need between proxies.
	quotas struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// groups are the proxies that have a pool together, the first to be it first, as of
		// a number of changes of who is known.
		groups  map[group][]replica.Candidate
		changes int
		// silent is until when a pool is passed over, unanswered counts the reports in a row
		// that it did not answer.
		silent     map[string]time.Time
		unanswered map[string]int
		// stored is the number that the store holds, known how many proxies are known and
		// since when.
		stored     int
		known      int
		knownSince time.Time
	}

	// group names proxies that have a pool together: those of a region, or of one failure
	// domain of it.
	group struct {
		region, domain string
	}

	// fleetSize is the text at fleetKey.
	fleetSize struct {
		Proxies int `json:"proxies"`
	}
)

func newQuotas(d *Daemon, s Store) *quotas {
	return &quotas{daemon: d, store: s, silent: make(map[string]time.Time), unanswered: make(map[string]int)}
}

// hear takes in the stored number of proxies.
func (q *quotas) hear(e replica.Entry) {
	if e.Removed {
		return
	}
	n, err := decodeFleet(e.Value)
	if err != nil {
		q.daemon.feed.refused("fleet", fleetKey, err)
		return
	}
	q.mu.Lock()
	q.stored = n
	q.mu.Unlock()
	q.daemon.do(func(k *steering.Kernel, _ time.Time) { k.SetFleetSize(n) })
}

func decodeFleet(data []byte) (int, error) {
	if err := operator.CheckSyntax(data); err != nil {
		return 0, err
	}
	var f fleetSize
	if err := json.Unmarshal(data, &f); err != nil {
		return 0, errors.Wrap(err, "fleet")
	}
	if f.Proxies < 1 {
		return 0, &operator.FieldError{Field: "proxies", Want: "1 or more", Got: strconv.Itoa(f.Proxies)}
	}
	return f.Proxies, nil
}

// run reports to the pool of this proxy's group, and borrows for the pool here if there is
// one.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.limited() {
			sleep.For(ctx, ratelimit.ReportInterval)
			continue
		}
		next := q.daemon.now().Add(ratelimit.ReportInterval - ratelimit.ReportInterval/10 + rand.N(ratelimit.ReportInterval/5))
		if q.report(ctx) {
			q.report(ctx)
		}
		q.borrow(ctx)
		sleep.For(ctx, next.Sub(q.daemon.now()))
	}
}

func (q *quotas) limited() (limited bool) {
	q.daemon.do(func(k *steering.Kernel, _ time.Time) { limited = k.HasRateLimits() })
	return limited
}

// report makes one report, and tells whether the next one should follow at once.
func (q *quotas) report(ctx context.Context) (again bool) {
	d := q.daemon
	best, others := q.pools()
	if best == "" {
		return false
	}
	var to string
	var r ratelimit.Report
	var asked time.Time
	d.do(func(k *steering.Kernel, now time.Time) {
		asked = now
		to, r = k.QuotaReport(now, best, others[:min(len(others), askedMost)])
	})
	g, err := q.tell(ctx, to, r)
	d.do(func(k *steering.Kernel, now time.Time) {
		if err != nil {
			k.QuotaReportUnanswered(now, to)
			return
		}
		again = k.ApplyQuotaGrants(now, asked, to, g)
	})
	return again
}

// borrow asks other pools for what the one here lacks.
func (q *quotas) borrow(ctx context.Context) {
	d := q.daemon
	_, lenders := q.pools()
	if len(lenders) == 0 {
		return
	}
	var loans []ratelimit.LoanRequest
	var asked time.Time
	d.do(func(k *steering.Kernel, now time.Time) {
		asked = now
		loans = k.BorrowQuota(now, lenders)
	})
	for _, l := range loans {
		go func() {
			if g, err := q.tell(ctx, l.Lender, l.Report); err == nil {
				d.do(func(k *steering.Kernel, now time.Time) { k.ApplyQuotaLoan(now, asked, l.Lender, g) })
			}
		}()
	}
}

// tell brings a report to a pool, which may be here.
func (q *quotas) tell(ctx context.Context, to string, r ratelimit.Report) (g ratelimit.Grants, err error) {
	d := q.daemon
	if to == d.settings.Name {
		d.do(func(k *steering.Kernel, now time.Time) { g = k.HandleQuotaReport(now, r) })
		return g, nil
	}
	peer, known := d.feed.peerOf(to)
	if !known {
		return g, errors.New("pool of limits is gone")
	}
	g, err = d.peers.ReportLimits(ctx, peer, r)
	if err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", to, "error", err.Error())
	}
	q.note(to, err)
	return g, err
}

// note takes in whether a pool has answered. One at whose address nothing listens is passed
// over at once.
func (q *quotas) note(pool string, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil {
		delete(q.unanswered, pool)
		return
	}
	q.unanswered[pool]++
	if q.unanswered[pool] >= unansweredMost || errors.Is(err, syscall.ECONNREFUSED) {
		q.silent[pool] = q.daemon.now().Add(poolPause)
		delete(q.unanswered, pool)
	}
}

// ask asks a pool for one request of an account.
func (q *quotas) ask(ctx context.Context, pool, account string) (ratelimit.TokenReply, bool) {
	peer, known := q.daemon.feed.peerOf(pool)
	if !known {
		return ratelimit.TokenReply{}, false
	}
	t, err := q.daemon.peers.TakeToken(ctx, peer, account)
	if err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", pool, "account", account, "error", err.Error())
	}
	return t, err == nil
}

// pool names the proxy that is the pool of a group now, empty for none.
func (q *quotas) pool(g group) string {
	now := q.daemon.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.groups[g] {
		if now.After(q.silent[c.Name]) {
			return c.Name
		}
	}
	return ""
}

// pools names the pool of this proxy's group, empty for none, and some others: those of its
// region first, then others in turn.
func (q *quotas) pools() (own string, others []string) {
	q.regroup()
	self := q.daemon.settings
	var near, far []group
	for _, g := range q.allGroups() {
		switch {
		case g == (group{region: self.Region}), g == group{region: self.Region, domain: self.Domain}:
			own = q.pool(g)
		case g.region == self.Region:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	for _, list := range [][]group{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, g := range list {
			if name := q.pool(g); name != "" && len(others) < lendersMost {
				others = append(others, name)
			}
		}
	}
	return own, others
}

func (q *quotas) allGroups() []group {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.groups))
}

// regroup settles which proxies have a pool together, after changes of who is known: those
// of a region, or of each failure domain where the region has many. All that know the same
// proxies come to the same groups.
func (q *quotas) regroup() {
	f := q.daemon.feed
	changes := f.changes()
	q.mu.Lock()
	same := q.groups != nil && changes == q.changes
	q.mu.Unlock()
	if same {
		return
	}
	groups := make(map[group][]replica.Candidate)
	for domain, region := range q.daemon.settings.RegionOf {
		all := f.candidates(func(m member) bool { return m.Region == region })
		g := group{region: region}
		if len(all) > groupMost {
			g.domain = domain
			all = f.candidates(func(m member) bool { return m.Domain == domain })
		}
		groups[g] = replica.SortCandidates(all)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.groups, q.changes = groups, changes
}

// count keeps the stored number of proxies: the first of the fleet sees to it.
func (q *quotas) count(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, fleetEvery)
		n, due := q.due()
		if !due {
			continue
		}
		data, err := json.Marshal(fleetSize{Proxies: n})
		if err == nil {
			err = q.store.Put(ctx, fleetKey, data, 0)
		}
		if err != nil {
			klog.InfoS("number of proxies not stored yet", "proxies", n, "error", err.Error())
			continue
		}
		klog.InfoS("limits are divided", "proxies", n)
	}
}

// due reports whether another number should be stored now, and which.
func (q *quotas) due() (n int, due bool) {
	d := q.daemon
	first := false
	d.do(func(k *steering.Kernel, _ time.Time) { n, first = k.QuotaProxies(), k.HasRateLimits() && k.IsLeader() })
	now := d.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if n != q.known {
		q.known, q.knownSince = n, now
	}
	settles := fleetSettles
	if n < q.stored {
		settles = fleetShrinks
	}
	return n, first && n != q.stored && now.Sub(q.knownSince) >= settles
}
