package forward

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
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
	// lendersMost is how many other regions' pools are asked at a time.
	lendersMost = 4
	// askedMost is how many of them a request is asked of in turn.
	askedMost = 2
	// poolPause is how long a pool that did not answer is passed over.
	poolPause = 2 * time.Second
)

type (
	// quotas carry what the limits of client accounts need between proxies.
	quotas struct {
		daemon *Daemon
		store  Store

		mu sync.Mutex
		// silent is until when a pool is passed over.
		silent map[string]time.Time
		// stored is the number that the store holds, known how many proxies are known and
		// since when.
		stored     int
		known      int
		knownSince time.Time
	}

	// fleetSize is the text at fleetKey.
	fleetSize struct {
		Proxies int `json:"proxies"`
	}
)

func newQuotas(d *Daemon, s Store) *quotas {
	return &quotas{daemon: d, store: s, silent: make(map[string]time.Time)}
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
	q.daemon.do(func(k *steering.Kernel, _ time.Time) { k.SetFleet(n) })
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

// run reports to the pool of this region, and borrows for the pool here if there is one.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !q.limited() {
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

func (q *quotas) limited() (limited bool) {
	q.daemon.do(func(k *steering.Kernel, _ time.Time) { limited = k.HasLimits() })
	return limited
}

// report makes one report, and tells whether the next one should follow at once.
func (q *quotas) report(ctx context.Context) (again bool) {
	d := q.daemon
	best := q.poolOf(d.settings.Region)
	if best == "" {
		return false
	}
	others := q.lenders()
	var to string
	var r ratelimit.Report
	var asked time.Time
	d.do(func(k *steering.Kernel, now time.Time) {
		asked = now
		to, r = k.LimitReport(now, best, others[:min(len(others), askedMost)])
	})
	g, err := q.tell(ctx, to, r)
	d.do(func(k *steering.Kernel, now time.Time) {
		if err != nil {
			k.ReportUnanswered(now, to)
			return
		}
		again = k.HearGrants(now, asked, to, g)
	})
	return again
}

// borrow asks other regions' pools for what the one here lacks.
func (q *quotas) borrow(ctx context.Context) {
	d := q.daemon
	lenders := q.lenders()
	if len(lenders) == 0 {
		return
	}
	var loans []ratelimit.Loan
	var asked time.Time
	d.do(func(k *steering.Kernel, now time.Time) {
		asked = now
		loans = k.Borrow(now, lenders)
	})
	for _, l := range loans {
		go func() {
			if g, err := q.tell(ctx, l.Lender, l.Report); err == nil {
				d.do(func(k *steering.Kernel, now time.Time) { k.HearLoan(now, asked, l.Lender, g) })
			}
		}()
	}
}

// tell brings a report to a pool, which may be here.
func (q *quotas) tell(ctx context.Context, to string, r ratelimit.Report) (g ratelimit.Grants, err error) {
	d := q.daemon
	if to == d.settings.Name {
		d.do(func(k *steering.Kernel, now time.Time) { g = k.HearReport(now, r) })
		return g, nil
	}
	peer, known := d.feed.peerOf(to)
	if !known {
		return g, errors.New("pool of limits is gone")
	}
	if g, err = d.peers.ReportLimits(ctx, peer, r); err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", to, "error", err.Error())
		q.mu.Lock()
		q.silent[to] = d.now().Add(poolPause)
		q.mu.Unlock()
	}
	return g, err
}

// ask asks a pool for one request of an account.
func (q *quotas) ask(ctx context.Context, pool, account string) (ratelimit.Token, bool) {
	peer, known := q.daemon.feed.peerOf(pool)
	if !known {
		return ratelimit.Token{}, false
	}
	t, err := q.daemon.peers.TakeToken(ctx, peer, account)
	if err != nil {
		klog.V(1).InfoS("pool of limits does not answer", "proxy", pool, "account", account, "error", err.Error())
	}
	return t, err == nil
}

// poolOf names the proxy that is a region's pool, empty for none: all that know the same
// proxies take the same one.
func (q *quotas) poolOf(region string) string {
	now := q.daemon.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range replica.Order(q.daemon.feed.candidates(region)) {
		if now.After(q.silent[c.Name]) {
			return c.Name
		}
	}
	return ""
}

// lenders are the pools of some other regions, others in turn.
func (q *quotas) lenders() []string {
	var list []string
	for _, region := range q.daemon.settings.regions() {
		if region == q.daemon.settings.Region {
			continue
		}
		if name := q.poolOf(region); name != "" {
			list = append(list, name)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), lendersMost)]
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
	d.do(func(k *steering.Kernel, _ time.Time) { n, first = k.Holders(), k.HasLimits() && k.FirstOfFleet() })
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

// regions lists all regions, in order.
func (s *Settings) regions() []string {
	var list []string
	for _, region := range s.RegionOf {
		list = append(list, region)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
