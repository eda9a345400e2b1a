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
	// fleetSizeKey holds among how many proxies limits are divided. It has no lease: proxies
	// that have all lost power must not take the first few for all.
	fleetSizeKey = "gypsumquay/fleet"
	// fleetCheckInterval is how often the stored number is compared with the proxies known.
	fleetCheckInterval = 300 * time.Millisecond
	// fleetGrowDelay is how long a proxy must have known the same number before it stores a
	// larger one, fleetShrinkDelay the same for a smaller one.
	fleetGrowDelay   = 1200 * time.Millisecond
	fleetShrinkDelay = time.Minute
	// maxGroupSize is how many proxies report to one pool at most.
	maxGroupSize = 40
	// maxLenders is how many other pools are asked at a time.
	maxLenders = 4
	// maxFallbackPools is how many of them a request is asked of in turn.
	maxFallbackPools = 2
	// poolBackoff is how long a pool that did not answer maxUnansweredReports reports in a row is
	// passed over. When a large fleet starts, pools and proxies are busy, and each change of
	// the pool costs the proxy its part for as long as it was given away.
	poolBackoff          = 2 * time.Second
	maxUnansweredReports = 3
)

type (
	// quotaClient carry what the limits of client accounts need between proxies.
	quotaClient struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// poolGroups are the proxies that have a pool together, the first to be it first, as of
		// a number of changes of who is known.
		poolGroups    map[poolGroup][]replica.Candidate
		groupsVersion int
		// skippedUntil is until when a pool is passed over, unanswered counts the reports in a row
		// that it did not answer.
		skippedUntil map[string]time.Time
		unanswered   map[string]int
		// storedFleetSize is the number that the store holds, known how many proxies are known and
		// since when.
		storedFleetSize int
		knownFleetSize  int
		knownSince      time.Time
	}

	// poolGroup names proxies that have a pool together: those of a region, or of one failure
	// domain of it.
	poolGroup struct {
		region, domain string
	}

	// fleetSize is the text at fleetSizeKey.
	fleetSize struct {
		Proxies int `json:"proxies"`
	}
)

func newQuotaClient(d *Daemon, s Store) *quotaClient {
	return &quotaClient{daemon: d, store: s, skippedUntil: make(map[string]time.Time), unanswered: make(map[string]int)}
}

// handleStoredFleetSize takes in the stored number of proxies.
func (q *quotaClient) handleStoredFleetSize(e replica.Entry) {
	if e.Removed {
		return
	}
	n, err := decodeFleetSize(e.Value)
	if err != nil {
		q.daemon.replica.rejectEntry("fleet", fleetSizeKey, err)
		return
	}
	q.mu.Lock()
	q.storedFleetSize = n
	q.mu.Unlock()
	q.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.SetFleet(n) })
}

func decodeFleetSize(data []byte) (int, error) {
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
func (q *quotaClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.hasLimits() {
			sleep.For(ctx, ratelimit.ReportEvery)
			continue
		}
		next := q.daemon.now().Add(ratelimit.ReportEvery - ratelimit.ReportEvery/10 + rand.N(ratelimit.ReportEvery/5))
		if q.report(ctx) {
			q.report(ctx)
		}
		q.borrow(ctx)
		sleep.For(ctx, next.Sub(q.daemon.now()))
	}
}

func (q *quotaClient) hasLimits() (limited bool) {
	q.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { limited = k.HasLimits() })
	return limited
}

// report makes one report, and tells whether the next one should follow at once.
func (q *quotaClient) report(ctx context.Context) (again bool) {
	d := q.daemon
	best, others := q.choosePools()
	if best == "" {
		return false
	}
	var to string
	var r ratelimit.Report
	var asked time.Time
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		asked = now
		to, r = k.LimitReport(now, best, others[:min(len(others), maxFallbackPools)])
	})
	g, err := q.sendReport(ctx, to, r)
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		if err != nil {
			k.ReportUnanswered(now, to)
			return
		}
		again = k.HearGrants(now, asked, to, g)
	})
	return again
}

// borrow asks other pools for what the one here lacks.
func (q *quotaClient) borrow(ctx context.Context) {
	d := q.daemon
	_, lenders := q.choosePools()
	if len(lenders) == 0 {
		return
	}
	var loans []ratelimit.Loan
	var asked time.Time
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		asked = now
		loans = k.Borrow(now, lenders)
	})
	for _, l := range loans {
		go func() {
			if g, err := q.sendReport(ctx, l.Lender, l.Report); err == nil {
				d.withKernel(func(k *steering.Kernel, now time.Time) { k.HearLoan(now, asked, l.Lender, g) })
			}
		}()
	}
}

// sendReport brings a report to a pool, which may be here.
func (q *quotaClient) sendReport(ctx context.Context, to string, r ratelimit.Report) (g ratelimit.Grants, err error) {
	d := q.daemon
	if to == d.settings.Name {
		d.withKernel(func(k *steering.Kernel, now time.Time) { g = k.HearReport(now, r) })
		return g, nil
	}
	peer, known := d.replica.peerAddress(to)
	if !known {
		return g, errors.New("pool of limits is gone")
	}
	g, err = d.peerClient.ReportLimits(ctx, peer, r)
	if err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", to, "error", err.Error())
	}
	q.recordPoolResult(to, err)
	return g, err
}

// recordPoolResult takes in whether a pool has answered. One at whose address nothing listens is passed
// over at once.
func (q *quotaClient) recordPoolResult(pool string, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil {
		delete(q.unanswered, pool)
		return
	}
	q.unanswered[pool]++
	if q.unanswered[pool] >= maxUnansweredReports || errors.Is(err, syscall.ECONNREFUSED) {
		q.skippedUntil[pool] = q.daemon.now().Add(poolBackoff)
		delete(q.unanswered, pool)
	}
}

// takeToken asks a pool for one request of an account.
func (q *quotaClient) takeToken(ctx context.Context, pool, account string) (ratelimit.Token, bool) {
	peer, known := q.daemon.replica.peerAddress(pool)
	if !known {
		return ratelimit.Token{}, false
	}
	t, err := q.daemon.peerClient.TakeToken(ctx, peer, account)
	if err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", pool, "account", account, "error", err.Error())
	}
	return t, err == nil
}

// activePool names the proxy that is the pool of a group now, empty for none.
func (q *quotaClient) activePool(g poolGroup) string {
	now := q.daemon.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.poolGroups[g] {
		if now.After(q.skippedUntil[c.Name]) {
			return c.Name
		}
	}
	return ""
}

// choosePools names the pool of this proxy's group, empty for none, and some others: those of its
// region first, then others in turn.
func (q *quotaClient) choosePools() (own string, others []string) {
	q.regroup()
	self := q.daemon.settings
	var near, far []poolGroup
	for _, g := range q.groups() {
		switch {
		case g == (poolGroup{region: self.Region}), g == poolGroup{region: self.Region, domain: self.Domain}:
			own = q.activePool(g)
		case g.region == self.Region:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	for _, list := range [][]poolGroup{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, g := range list {
			if name := q.activePool(g); name != "" && len(others) < maxLenders {
				others = append(others, name)
			}
		}
	}
	return own, others
}

func (q *quotaClient) groups() []poolGroup {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.poolGroups))
}

// regroup settles which proxies have a pool together, after changes of who is known: those
// of a region, or of each failure domain where the region has many. All that know the same
// proxies come to the same groups.
func (q *quotaClient) regroup() {
	f := q.daemon.replica
	changes := f.membershipVersion()
	q.mu.Lock()
	same := q.poolGroups != nil && changes == q.groupsVersion
	q.mu.Unlock()
	if same {
		return
	}
	groups := make(map[poolGroup][]replica.Candidate)
	for domain, region := range q.daemon.settings.RegionOf {
		all := f.candidates(func(m proxyEntry) bool { return m.Region == region })
		g := poolGroup{region: region}
		if len(all) > maxGroupSize {
			g.domain = domain
			all = f.candidates(func(m proxyEntry) bool { return m.Domain == domain })
		}
		groups[g] = replica.Order(all)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolGroups, q.groupsVersion = groups, changes
}

// runFleetSize keeps the stored number of proxies: the first of the fleet sees to it.
func (q *quotaClient) runFleetSize(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, fleetCheckInterval)
		n, due := q.fleetSizeDue()
		if !due {
			continue
		}
		data, err := json.Marshal(fleetSize{Proxies: n})
		if err == nil {
			err = q.store.Put(ctx, fleetSizeKey, data, 0)
		}
		if err != nil {
			klog.InfoS("number of proxies not stored yet", "proxies", n, "error", err.Error())
			continue
		}
		klog.InfoS("limits are divided", "proxies", n)
	}
}

// fleetSizeDue reports whether another number should be stored now, and which.
func (q *quotaClient) fleetSizeDue() (n int, due bool) {
	d := q.daemon
	first := false
	d.withKernel(func(k *steering.Kernel, _ time.Time) { n, first = k.Holders(), k.HasLimits() && k.FirstOfFleet() })
	now := d.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if n != q.knownFleetSize {
		q.knownFleetSize, q.knownSince = n, now
	}
	settles := fleetGrowDelay
	if n < q.storedFleetSize {
		settles = fleetShrinkDelay
	}
	return n, first && n != q.storedFleetSize && now.Sub(q.knownSince) >= settles
}
