package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// weightsRate is how many requests a second each machine gets on each route.
	weightsRate = 10
	// beforeChange is for how long the first version is in force while requests are sent, and
	// afterChange is for how long requests are sent once the second one has been acknowledged.
	beforeChange = 8500 * time.Millisecond
	afterChange  = 28 * time.Second
	// configApply is the bound ConfigApply. steadyAfter is from when on the second version counts as
	// a steady state here: ConfigApply and Contact after its acknowledgement.
	configApply = 2500 * time.Millisecond
	steadyAfter = configApply + 4*time.Second
	// The bounds of CONFIG on the shares of the parts of a split.
	steadyRequests = 200
	mostOff        = 0.2
	weightsHost    = "levels.example"
	soundService   = "levelsvc"
	trialService   = "routesvc"
	// The paths of the route whose trial is withdrawn, and of the one whose trial goes on.
	withdrawnPath = "/tank/"
	halvedPath    = "/sheet/"
)

var weightsZones = map[string]string{"sap-a": "sapporo", "asa-a": "asahikawa", "kus-a": "kushiro"}

const weightsBounds = `Contracts=base,drain,config,cost,retry,recover,places,platform
Bounds.Contact=4000ms
Bounds.Drain=2500ms
Bounds.Grace=6s
Bounds.ConfigApply=2500ms
Bounds.RollbackSlack=250ms
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindow=10s
Bounds.RetryBudgetSlack=58
Bounds.ColdFactor=1.5
Bounds.ColdSlack=5
Bounds.ttl_max=5s
Bounds.MaxShift=0.15
Provider.TtlMin=1000ms
`

type (
	// splitBook holds which service has run which request.
	splitBook struct {
		mu       sync.Mutex
		requests map[string]*splitRequest
	}

	splitRequest struct {
		sent    time.Time
		path    string
		machine string
		service string
		status  int
	}
)

// playWeights lets the operator end a trial of a new service: a version gives the trial's part of one
// route the weight 0, and of another route half of the requests.
func playWeights(r *run) (bool, error) {
	book := &splitBook{requests: make(map[string]*splitRequest)}
	zones := []string{"sap-a", "asa-a", "kus-a"}
	for i := range 12 {
		w := &worker{id: fmt.Sprintf("i-%04d", i), service: []string{soundService, trialService}[i%2], zone: zones[i/2%len(zones)], slots: 12, work: 20 * time.Millisecond}
		w.onRun = func(a arrival) { book.arrive(a.id, w.service) }
		if err := startWorker(r.store, w); err != nil {
			return false, err
		}
	}
	writeSplit(r, "r3", [2]int{995, 5}, [2]int{995, 5})
	d, err := newDeployment(r.store, weightsZones, weightsBounds)
	if err != nil {
		return false, err
	}
	var machines []*machine
	for i, zone := range zones {
		m, err := d.addMachine(i+1, zone)
		if err != nil {
			return false, err
		}
		r.add(m)
		machines = append(machines, m)
		d.seeds = append(d.seeds, m.address(controlPort))
	}
	for _, m := range machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	for _, m := range machines {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	r.logf("%d machines are ready with version r3: weights 995 and 5 on both routes", len(machines))
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sending sync.WaitGroup
	for _, m := range machines {
		for _, path := range []string{withdrawnPath, halvedPath} {
			sending.Go(func() { book.sendAll(ctx, m, path) })
		}
	}
	time.Sleep(beforeChange)
	want := map[string]float64{withdrawnPath: 0.005, halvedPath: 0.005}
	if r.trouble {
		writeSplit(r, "r8", [2]int{1, 0}, [2]int{1, 1})
		want = map[string]float64{withdrawnPath: 0, halvedPath: 0.5}
	}
	acknowledged := time.Now()
	r.logf("trouble %t: version r8 is acknowledged: weights 1 and 0 on %s, 1 and 1 on %s", r.trouble, withdrawnPath, halvedPath)
	time.Sleep(afterChange)
	cancel()
	sending.Wait()
	return book.check(r, acknowledged, want), nil
}

// writeSplit writes a version with the weights of the two services on the two routes.
func writeSplit(r *run, version string, withdrawn, halved [2]int) {
	route := func(prefix string, weights [2]int) map[string]any {
		return map[string]any{
			"Host": weightsHost, "Prefix": prefix, "Kind": "idempotent", "Timeout": "1500ms", "TargetLatency": "300ms", "Priority": 1,
			"TrafficSplit": []map[string]any{{"Service": soundService, "Weight": weights[0]}, {"Service": trialService, "Weight": weights[1]}},
			"MaxAttempts":  2, "Sticky": false, "AllowedRegions": []string{},
		}
	}
	service := map[string]any{"HealthPath": "/health", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 12}
	r.store.put("op/config", map[string]any{
		"Version":  version,
		"Routes":   map[string]any{"tank-level": route(withdrawnPath, withdrawn), "route-sheet": route(halvedPath, halved)},
		"Services": map[string]any{soundService: service, trialService: service},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}

func (b *splitBook) arrive(id, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q := b.requests[id]; q != nil {
		q.service = service
	}
}

// sendAll sends requests on one route to one machine until the context ends.
func (b *splitBook) sendAll(ctx context.Context, m *machine, path string) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	var sending sync.WaitGroup
	for ctx.Err() == nil {
		sending.Go(func() { b.send(client, m, path) })
		sleep(ctx, time.Second/weightsRate)
	}
	sending.Wait()
}

func (b *splitBook) send(client *http.Client, m *machine, path string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(http.MethodGet, "http://"+m.address(frontPort)+path+id[:4], nil)
	if err != nil {
		return
	}
	request.Host = weightsHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "1200")
	q := &splitRequest{sent: time.Now(), path: path, machine: m.name}
	b.mu.Lock()
	b.requests[id] = q
	b.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	b.mu.Lock()
	q.status = response.StatusCode
	b.mu.Unlock()
}

// check checks two sentences of CONFIG: no request that was sent later than ConfigApply after the
// version may run at a part of weight 0, and in a steady state of 200 requests the share of each part
// is within 0.2 of its weight's.
func (b *splitBook) check(r *run, acknowledged time.Time, want map[string]float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var record bytes.Buffer
	total, trial := make(map[string]int), make(map[string]int)
	old, oldByMachine := 0, make(map[string]int)
	for id, q := range b.requests {
		fmt.Fprintf(&record, "%7.3f  %s %s sent to %s, run by %s, answered %d\n", r.at(q.sent), id, q.path, q.machine, q.service, q.status)
		after := q.sent.Sub(acknowledged)
		if q.service == "" {
			continue
		}
		if r.trouble && after > configApply && q.path == withdrawnPath && q.service == trialService {
			old++
			oldByMachine[q.machine]++
		}
		if after > steadyAfter {
			total[q.path]++
			if q.service == trialService {
				trial[q.path]++
			}
		}
	}
	_, _ = r.record.Write(record.Bytes())
	broken := old > 0
	r.logf("requests on %s that were sent later than %s after r8 and run by %s, whose weight is 0: %d %v", withdrawnPath, configApply, trialService, old, oldByMachine)
	for path, share := range want {
		n := total[path]
		if n < steadyRequests {
			r.logf("only %d requests on %s: no share is judged", n, path)
			continue
		}
		got := float64(trial[path]) / float64(n)
		off := math.Abs(got - share)
		r.logf("%s in the steady state: %d of %d requests run by %s, a share of %.3f; its weight's is %.3f, CONFIG allows it to be %.1f off", path, trial[path], n, trialService, got, share, mostOff)
		broken = broken || off > mostOff
	}
	return broken
}
