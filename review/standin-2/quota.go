package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"
)

const (
	// The limit of the tenant and the bounds of QUOTA.
	tenantRate   = 100.0
	tenantBurst  = 20.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// usualRate is what the tenant usually sends in a second, hotFactor and hotFor is how much more
	// and how long it does on its hot day.
	usualRate = tenantRate / 1.6
	hotFactor = 7.0
	hotFor    = 6500 * time.Millisecond
	// turnedAwayFor is how long the store turns the added machines away.
	turnedAwayFor = 9 * time.Second
	clientsInZone = 24
	tenantName    = "ground-handling"
	tenantKey     = "k-8d1f0c"
	quotaHost     = "maps.example"
	quotaPath     = "/routes/7"
)

type (
	// tenantClient is a client of the tenant.
	tenantClient struct {
		zone      string
		http      *http.Client
		addresses []string
		validTill time.Time
	}

	// sentRequest is one attempt of a client.
	sentRequest struct {
		sent    time.Time
		to      string
		status  int
		arrived time.Time
	}

	// ledger holds what clients have sent and workers have run.
	ledger struct {
		mu       sync.Mutex
		requests map[string]*sentRequest
	}
)

var quotaZones = map[string]string{"mct-a": "muscat", "mct-b": "muscat", "sll-a": "salalah", "ohs-a": "sohar"}

const quotaBounds = `Contracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform
Bounds.Drain=3000ms
Bounds.Grace=6s
Bounds.ConfigApply=3000ms
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindow=10s
Bounds.RetryBudgetSlack=60
Bounds.QuotaWindow=5s
Bounds.QuotaOverage=0.1
Bounds.QuotaSlack=20
Bounds.ColdFactor=1.5
Bounds.ColdSlack=5
Bounds.ttl_max=5s
Bounds.MaxShift=0.15
Provider.WritesPerS=400
Provider.ReadsPerS=2000
Provider.History=20s
Provider.ValueBytes=1048576
Provider.TtlMin=1000ms
`

// playQuota adds two machines to four while the store turns the two away, and lets a tenant send more
// than its limit.
func playQuota(r *run) (bool, error) {
	book := &ledger{requests: make(map[string]*sentRequest)}
	if err := startQuotaPlatform(r, book); err != nil {
		return false, err
	}
	d, err := newDeployment(r.store, quotaZones, quotaBounds)
	if err != nil {
		return false, err
	}
	old, err := startQuotaMachines(r, d)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hot := make(chan struct{})
	directories := &directoryList{}
	directories.set(old)
	sending := startTenant(ctx, r, book, directories, hot)
	// A quiet time: all machines know each other, and the limit is divided among them.
	time.Sleep(6 * time.Second)
	r.logf("proxies in the store: %v", r.store.keys("gypsumquay/proxies/"))
	added, err := addQuotaMachines(r, d)
	if err != nil {
		return false, err
	}
	directories.set(append(old, added...))
	time.Sleep(time.Second)
	r.logf("the tenant sends %.1f times its usual for %s", hotFactor, hotFor)
	close(hot)
	time.Sleep(hotFor)
	cancel()
	sending.Wait()
	for _, m := range added {
		m.door.busy.Store(false)
	}
	r.logf("calls that the store has answered with 503: %d and %d", added[0].door.refused.Load(), added[1].door.refused.Load())
	return book.check(r), nil
}

// startQuotaPlatform starts the workers and writes the configuration.
func startQuotaPlatform(r *run, book *ledger) error {
	zones := []string{"mct-a", "mct-b", "sll-a", "ohs-a"}
	for i := range 8 {
		w := &worker{id: fmt.Sprintf("i-%04d", i), service: "routing", zone: zones[i%len(zones)], slots: 40, work: 20 * time.Millisecond, onRun: book.arrive}
		if err := startWorker(r.store, w); err != nil {
			return err
		}
	}
	r.store.put("op/config", map[string]any{
		"Version": "r3",
		"Routes": map[string]any{"route-read": map[string]any{
			"Host": quotaHost, "Prefix": "/routes/", "Kind": "non_idempotent", "Timeout": "2500ms", "TargetLatency": "400ms",
			"Priority": 1, "Service": "routing", "MaxAttempts": 2, "Sticky": false, "AllowedRegions": []string{},
		}},
		"Services": map[string]any{"routing": map[string]any{"HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 12}},
		"Tenants":  map[string]any{tenantName: map[string]any{"ApiKeys": []string{tenantKey}, "Priority": 1, "RatePerS": tenantRate, "Burst": tenantBurst}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	return nil
}

// startQuotaMachines starts the four machines of the first start.
func startQuotaMachines(r *run, d *deployment) ([]*machine, error) {
	var list []*machine
	for i, zone := range []string{"mct-a", "mct-b", "sll-a", "ohs-a"} {
		m, err := d.addMachine(i+1, zone)
		if err != nil {
			return nil, err
		}
		r.add(m)
		list = append(list, m)
	}
	for _, m := range list[:3] {
		d.seeds = append(d.seeds, m.address(controlPort))
	}
	for _, m := range list {
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	for _, m := range list {
		if err := m.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	r.logf("4 machines are ready")
	return list, nil
}

// addQuotaMachines adds two machines. With trouble the store turns them away from their start on.
func addQuotaMachines(r *run, d *deployment) ([]*machine, error) {
	var list []*machine
	for i, zone := range []string{"mct-a", "sll-a"} {
		m, err := d.addMachine(5+i, zone)
		if err != nil {
			return nil, err
		}
		m.door.busy.Store(r.trouble)
		r.add(m)
		list = append(list, m)
	}
	if r.trouble {
		time.AfterFunc(turnedAwayFor, func() {
			for _, m := range list {
				m.door.busy.Store(false)
			}
		})
	}
	for _, m := range list {
		if err := m.start(false); err != nil {
			return nil, err
		}
	}
	for _, m := range list {
		if err := m.waitReady(4 * time.Second); err != nil {
			return nil, err
		}
		r.logf("added machine %s is ready", m.name)
	}
	return list, nil
}

// directoryList holds the machines that clients ask where to connect.
type directoryList struct {
	mu   sync.Mutex
	list []*machine
}

func (l *directoryList) set(list []*machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append([]*machine(nil), list...)
}

// near lists the machines, those of a zone first, in random order.
func (l *directoryList) near(zone string) []*machine {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]*machine(nil), l.list...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	sort.SliceStable(list, func(i, j int) bool { return list[i].zone == zone && list[j].zone != zone })
	return list
}

// startTenant starts the clients of the tenant, the same number in each zone. They send at a fixed
// rate, whatever is answered.
func startTenant(ctx context.Context, r *run, book *ledger, directories *directoryList, hot <-chan struct{}) *sync.WaitGroup {
	var sending sync.WaitGroup
	pause := time.Duration(float64(time.Second) * float64(clientsInZone*len(quotaZones)) / usualRate)
	for zone := range quotaZones {
		for range clientsInZone {
			c := &tenantClient{zone: zone, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
			sending.Add(1)
			go func() {
				defer sending.Done()
				sleep(ctx, rand.N(pause))
				for ctx.Err() == nil {
					wait := pause
					select {
					case <-hot:
						wait = time.Duration(float64(pause) / hotFactor)
					default:
					}
					sending.Go(func() { c.send(r, book, directories) })
					sleep(ctx, wait)
				}
			}()
		}
	}
	return &sending
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

var lookupMu sync.Mutex

// lookup asks up to three machines, nearest first, where to connect, and keeps the answer for its
// time.
func (c *tenantClient) lookup(directories *directoryList) []string {
	lookupMu.Lock()
	defer lookupMu.Unlock()
	if time.Now().Before(c.validTill) {
		return c.addresses
	}
	near := directories.near(c.zone)
	for _, m := range near[:min(3, len(near))] {
		query := url.Values{"Name": {quotaHost}, "Zone": {c.zone}, "Region": {quotaZones[c.zone]}}
		client := &http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + m.address(directoryPort) + "/-/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TTL       string `json:"Ttl"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		ttl, ttlErr := time.ParseDuration(answer.TTL)
		if err == nil && ttlErr == nil && len(answer.Addresses) > 0 {
			c.addresses, c.validTill = answer.Addresses, time.Now().Add(ttl)
			break
		}
	}
	return c.addresses
}

// send sends one request of the tenant.
func (c *tenantClient) send(r *run, book *ledger, directories *directoryList) {
	addresses := c.lookup(directories)
	if len(addresses) == 0 {
		return
	}
	to := addresses[rand.IntN(len(addresses))]
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(http.MethodPost, "http://"+to+quotaPath, nil)
	if err != nil {
		return
	}
	request.Host = quotaHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2500")
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	book.send(id, to)
	response, err := c.http.Do(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	book.answer(r, id, status)
}

func (b *ledger) send(id, to string) {
	host, _, _ := net.SplitHostPort(to)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[id] = &sentRequest{sent: time.Now(), to: host}
}

func (b *ledger) arrive(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.requests[a.id]; q != nil && a.tenant == tenantName {
		q.arrived = a.at
	}
}

func (b *ledger) answer(r *run, id string, status int) {
	b.mu.Lock()
	q := b.requests[id]
	q.status = status
	sent, arrived := q.sent, q.arrived
	b.mu.Unlock()
	ran := "not run"
	if !arrived.IsZero() {
		ran = fmt.Sprintf("ran at %.3f", r.at(arrived))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7.3f  %s sent to %s, %s, answered %d\n", r.at(sent), id, q.to, ran, status)
}

// check checks QUOTA: in each window it counts the requests of the tenant that were both sent and run
// in it.
func (b *ledger) check(r *run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*sentRequest
	for _, q := range b.requests {
		if !q.arrived.IsZero() {
			list = append(list, q)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most, from, byMachine := 0, time.Time{}, map[string]int{}
	for i, first := range list {
		count, machines := 0, make(map[string]int)
		for _, q := range list[i:] {
			if q.sent.Sub(first.sent) >= quotaWindow {
				break
			}
			if q.arrived.Sub(first.sent) < quotaWindow {
				count++
				machines[q.to]++
			}
		}
		if count > most {
			most, from, byMachine = count, first.sent, machines
		}
	}
	r.logf("sent %d, run %d", len(b.requests), len(list))
	r.logf("most run in a window of %s: %d, from %.3f on; QUOTA allows (%.0f x %.0f + %.0f) x %.1f + %.0f = %.0f", quotaWindow, most, r.at(from), tenantRate, quotaWindow.Seconds(), tenantBurst, 1+quotaOverage, quotaSlack, allowed)
	r.logf("by the machine that took them: %v", byMachine)
	return float64(most) > allowed
}
