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
	// fleetSizeKey holds the number of proxies that the limits are divided by. It has no lease:
	// when all proxies restart after a power loss, the first few must not divide the limits among
	// themselves only.
	fleetSizeKey = "gypsumquay/fleet"
	// fleetCheckInterval is how often the stored number is compared with the known proxies.
	fleetCheckInterval = 300 * time.Millisecond
	// fleetGrowDelay is how long the number of known proxies must be stable before a larger one
	// is stored; fleetShrinkDelay is the same for a smaller one.
	fleetGrowDelay   = 1200 * time.Millisecond
	fleetShrinkDelay = time.Minute
	// maxGroupSize bounds the proxies that report to one pool.
	maxGroupSize = 40
	// maxLenders bounds the pools that are asked for loans at a time.
	maxLenders = 4
	// maxFallbackPools bounds the other groups' pools that a request is tried at in turn.
	maxFallbackPools = 2
	// poolBackoff is how long a pool is skipped that didn't respond to maxUnansweredReports reports
	// in a row. When a large fleet starts, pools and proxies are busy, and each change of the pool
	// costs the proxy its share until the lease of the share ends.
	poolBackoff          = 2 * time.Second
	maxUnansweredReports = 3
)

type (
	// quotaClient exchanges with other proxies what the rate limits of client accounts need:
	// usage reports, loans between pools, single tokens, and the stored number of proxies.
	quotaClient struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// poolGroups holds the candidates for the pool of each group in order of preference, as
		// of the membership version groupsVersion.
		poolGroups    map[poolGroup][]replica.Candidate
		groupsVersion int
		// skippedUntil holds the pools that are skipped and until when; unanswered counts the
		// consecutive reports to which a pool didn't respond.
		skippedUntil map[string]time.Time
		unanswered   map[string]int
		// storedFleetSize is the number in the store, knownFleetSize the number of known proxies,
		// unchanged since knownSince.
		storedFleetSize int
		knownFleetSize  int
		knownSince      time.Time
	}

	// poolGroup identifies the proxies that share a pool: those of a region, or of one of its
	// failure domains.
	poolGroup struct {
		region, domain string
	}

	// fleetSize is the stored value of fleetSizeKey.
	fleetSize struct {
		Proxies int `json:"proxies"`
	}
)

func newQuotaClient(d *Daemon, s Store) *quotaClient {
	return &quotaClient{daemon: d, store: s, skippedUntil: make(map[string]time.Time), unanswered: make(map[string]int)}
}

// handleStoredFleetSize applies the stored number of proxies.
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
	q.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.SetFleetSize(n) })
}

// resetStoredFleetSize records that the store has lost the number of proxies. The number in use stays.
func (q *quotaClient) resetStoredFleetSize() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.storedFleetSize = 0
}

func decodeFleetSize(data []byte) (int, error) {
	if err := operator.CheckSyntax(data); err != nil {
		return 0, err
	}
	var f fleetSize
	if err := json.Unmarshal(data, &f); err != nil {
		return 0, errors.Wrap(err, "decode fleet size")
	}
	if f.Proxies < 1 {
		return 0, &operator.FieldError{Field: "proxies", Want: "1 or more", Got: strconv.Itoa(f.Proxies)}
	}
	return f.Proxies, nil
}

// run periodically reports to the pool of this proxy's group, and borrows for the pool at this
// proxy if there is one.
func (q *quotaClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.hasLimits() {
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

func (q *quotaClient) hasLimits() (limited bool) {
	q.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { limited = k.HasRateLimits() })
	return limited
}

// report sends one report, and reports whether the next one should follow at once.
func (q *quotaClient) report(ctx context.Context) (again bool) {
	d := q.daemon
	own, others := q.choosePools()
	if own == "" {
		return false
	}
	var to string
	var r ratelimit.Report
	var sentAt time.Time
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		sentAt = now
		to, r = k.QuotaReport(now, own, others[:min(len(others), maxFallbackPools)])
	})
	g, err := q.sendReport(ctx, to, r)
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		if err != nil {
			k.MarkPoolUnresponsive(now, to)
			return
		}
		again = k.ApplyQuotaGrants(now, sentAt, to, g)
	})
	return again
}

// borrow requests loans from other pools for the one at this proxy.
func (q *quotaClient) borrow(ctx context.Context) {
	d := q.daemon
	_, lenders := q.choosePools()
	if len(lenders) == 0 {
		return
	}
	var loans []ratelimit.LoanRequest
	var sentAt time.Time
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		sentAt = now
		loans = k.BorrowQuota(now, lenders)
	})
	for _, l := range loans {
		go func() {
			if g, err := q.sendReport(ctx, l.Lender, l.Report); err == nil {
				d.withKernel(func(k *steering.Kernel, now time.Time) { k.ApplyQuotaLoan(now, sentAt, l.Lender, g) })
			}
		}()
	}
}

// sendReport sends a report to a pool, possibly the one at this proxy.
func (q *quotaClient) sendReport(ctx context.Context, to string, r ratelimit.Report) (g ratelimit.Grants, err error) {
	d := q.daemon
	if to == d.settings.Name {
		d.withKernel(func(k *steering.Kernel, now time.Time) { g = k.HandleQuotaReport(now, r) })
		return g, nil
	}
	peer, known := d.replica.peerAddress(to)
	if !known {
		return g, errors.New("proxy of the quota pool is unknown")
	}
	g, err = d.peerClient.ReportLimits(ctx, peer, r)
	if err != nil {
		klog.V(1).InfoS("report to quota pool failed", "proxy", to, "error", err.Error())
	}
	q.recordPoolResult(to, err)
	return g, err
}

// recordPoolResult records whether a pool responded to a report. A pool that refuses connections is
// skipped at once.
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

// takeToken requests the token for one request of an account from a pool. It reports false if the
// pool doesn't respond.
func (q *quotaClient) takeToken(ctx context.Context, pool, account string) (ratelimit.TokenReply, bool) {
	peer, known := q.daemon.replica.peerAddress(pool)
	if !known {
		return ratelimit.TokenReply{}, false
	}
	t, err := q.daemon.peerClient.TakeToken(ctx, peer, account)
	if err != nil {
		klog.V(1).InfoS("token request to quota pool failed", "proxy", pool, "account", account, "error", err.Error())
	}
	return t, err == nil
}

// activePool is the name of the proxy that is currently the pool of a group, empty for none.
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

// choosePools returns the pool of this proxy's group, empty for none, and pools of other groups in
// random order, those of this region first.
func (q *quotaClient) choosePools() (own string, others []string) {
	q.regroup()
	self := q.daemon.settings
	var local, remote []poolGroup
	for _, g := range q.groups() {
		switch {
		case g == (poolGroup{region: self.Region}), g == poolGroup{region: self.Region, domain: self.Domain}:
			own = q.activePool(g)
		case g.region == self.Region:
			local = append(local, g)
		default:
			remote = append(remote, g)
		}
	}
	for _, list := range [][]poolGroup{local, remote} {
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

// regroup recomputes the groups if the membership has changed: one per region, or one per failure
// domain in regions with more than maxGroupSize proxies. Proxies that know the same members compute
// the same groups.
func (q *quotaClient) regroup() {
	f := q.daemon.replica
	version := f.membershipVersion()
	q.mu.Lock()
	unchanged := q.poolGroups != nil && version == q.groupsVersion
	q.mu.Unlock()
	if unchanged {
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
		groups[g] = replica.SortCandidates(all)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.poolGroups, q.groupsVersion = groups, version
}

// runFleetSize keeps the stored number of proxies up to date, if this proxy is the first of the
// fleet.
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
			klog.InfoS("fleet size not stored; retrying", "proxies", n, "error", err.Error())
			continue
		}
		klog.InfoS("fleet size for rate limits stored", "proxies", n)
	}
}

// fleetSizeDue returns the number of proxies, and whether it should be stored now.
func (q *quotaClient) fleetSizeDue() (n int, due bool) {
	d := q.daemon
	isFirst := false
	d.withKernel(func(k *steering.Kernel, _ time.Time) {
		n, isFirst = k.QuotaProxies(), k.HasRateLimits() && k.IsLeader()
	})
	now := d.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if n != q.knownFleetSize {
		q.knownFleetSize, q.knownSince = n, now
	}
	delay := fleetGrowDelay
	if n < q.storedFleetSize {
		delay = fleetShrinkDelay
	}
	return n, isFirst && n != q.storedFleetSize && now.Sub(q.knownSince) >= delay
}
