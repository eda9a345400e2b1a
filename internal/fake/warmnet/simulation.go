package warmnet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/schedule"
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/connpool"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// Oracle is a placer that only this package implements. It knows the queue and the cache of
	// every server and selects the server that responds first. It is greedy, so a global assignment
	// of objects may do slightly better.
	Oracle = "all-seeing"

	service           = "service"
	host              = "host"
	serviceTimeJitter = 0.15
	// accountCount is the number of accounts. All send at the same rate.
	accountCount = 10
	// initialRateFactor multiplies the request rate until HalfRateUntil.
	initialRateFactor = 0.5
)

type (
	simulation struct {
		schedule.Schedule
		scenario Scenario
		placer   string
		seed     uint64
		random   *rand.Rand
		// hedgeRandom is used for the runs of second attempts. With one source for all, a single
		// hedge would change all later arrivals, and results with and without hedges could hardly
		// be compared.
		hedgeRandom *rand.Rand
		servers     []*server
		byID        map[string]*server
		proxies     map[string][]*steering.Kernel
		// proxyList are the proxies that know each other.
		proxyList            []steering.Proxy
		result               Result
		withinTargetByRegion map[string]int
		sentByRegion         map[string]int
		oracle               bool
		routes               []Route
		// slotMessages holds the pending messages about slots.
		slotMessages slotMessages
		record       func(steering.Call)
		// cumulativeWeights are the cumulative request frequencies of the objects. It is empty if
		// Skew is zero.
		cumulativeWeights []float64
		regionCounts      regionCounts
		crashes           crashState
		rateLimitLog      rateLimitLog
		// drainHeard holds the times at which proxies learned that servers are draining.
		drainHeard firstHeard
		backoffLog backoffLog
		retryLog   retryLog
		// ended holds the proxies that were killed.
		ended        map[*steering.Kernel]bool
		slowTurns    slowTurnState
		duplicateLog duplicateLog
	}

	request struct {
		kernel        *steering.Kernel
		activeRequest *steering.ActiveRequest
		// region is the region of the caller, proxyRegion that of the proxy that it uses.
		region      string
		proxyRegion string
		startedAt   time.Duration
		// sentAt is when the caller last sent the request, and attemptID identifies that attempt.
		sentAt    time.Duration
		attemptID string
		// conn is the connection on which the request was sent, if servers send duplicate responses.
		conn        *pooledConn
		server      *server
		route       *Route
		object      string
		retriesLeft int
		// credential belongs to the account of the caller, if the scenario has accounts.
		credential account.Credential
		// crashing requests crash the server that runs them.
		crashing bool
		// handedOverBy is the request at the proxy that handed this one over, or nil. attemptsUsed is
		// the number of its attempts there, connectionsLost how many of them lost their connection.
		// isCounted is set if it counts in the retry budget there.
		handedOverBy                  *request
		attemptsUsed, connectionsLost int
		isCounted                     bool
		hedgeState
	}
)

// Simulate runs a scenario with a placer. Equal arguments give equal results.
func Simulate(scenario Scenario, placer string, seed uint64) Result {
	return simulate(scenario, placer, seed, nil)
}

// simulate is Simulate with a recorder for the calls of the first proxy's kernel.
func simulate(scenario Scenario, placer string, seed uint64, record func(steering.Call)) Result {
	w := &simulation{
		record:   record,
		scenario: scenario, placer: placer, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), hedgeRandom: rand.New(rand.NewPCG(seed, 2)), byID: make(map[string]*server),
		proxies: make(map[string][]*steering.Kernel), withinTargetByRegion: make(map[string]int), sentByRegion: make(map[string]int),
		regionCounts: make(regionCounts), ended: make(map[*steering.Kernel]bool),
		duplicateLog: duplicateLog{pools: make(map[*steering.Kernel]*connpool.Pool[*virtualConn]), ran: make(map[string]bool)},
		oracle:       placer == Oracle, routes: scenario.routeList(),
	}
	if w.oracle {
		w.placer = steering.DefaultPlacer
	}
	w.build()
	for i, r := range scenario.Regions {
		w.scheduleArrivals(i, r)
	}
	if scenario.RemoveAt > 0 {
		w.After(scenario.RemoveAt.Std(), w.removeFirstServers)
	}
	if scenario.Rollout != nil {
		w.After(scenario.Rollout.From.Std(), func() { w.replaceServers(0) })
	}
	if len(scenario.ProxyLossRegions) > 0 {
		w.After(scenario.ProxyLossAt.Std(), w.removeProxies)
	}
	if scenario.hasCrashes() {
		w.scheduleCrashes()
	}
	w.scheduleDraining()
	w.scheduleRestarts()
	w.After(tickInterval, w.tick)
	for w.RunNext() {
	}
	w.result.WithinTargetByRegion = make(map[string]float64)
	for region, n := range w.sentByRegion {
		w.result.WithinTargetByRegion[region] = float64(w.withinTargetByRegion[region]) / float64(max(1, n))
	}
	w.result.MaxRegionShift = w.regionCounts.maxShift()
	w.result.RateLimits, w.result.Backoffs = w.rateLimitLog.stats(scenario.RateLimits), w.backoffLog.stats()
	w.result.Retries = w.retryLog.stats(scenario.Duration.Std())
	w.result.Duplicates = w.duplicateLog.stats
	slices.Sort(w.result.Latencies)
	return w.result
}

func (w *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.Now) }

func (w *simulation) build() {
	for _, r := range w.scenario.Regions {
		for i := range r.Servers {
			s := &server{id: serverID(r.Name, i), region: r.Name, index: i, serviceTimeFactor: 1}
			if n := len(w.scenario.ServiceTimeFactors); n > 0 {
				s.serviceTimeFactor = w.scenario.ServiceTimeFactors[len(w.servers)%n]
			}
			w.servers = append(w.servers, s)
			w.byID[s.id] = s
		}
	}
	for _, r := range w.scenario.Regions {
		for i := range w.scenario.ProxiesPerRegion {
			w.proxyList = append(w.proxyList, steering.Proxy{Name: fmt.Sprintf("%s-proxy-%d", r.Name, i), Domain: r.Name + "-a", Region: r.Name, Handovers: handoverAddress(len(w.proxyList))})
		}
	}
	w.startProxies()
}

// startProxies starts all proxies.
func (w *simulation) startProxies() {
	for i, p := range w.proxyList {
		k := w.newKernel(i, p)
		k.SetProxies(time.Time{}, w.proxyList)
		w.configure(k, p.Region)
		w.proxies[p.Region] = append(w.proxies[p.Region], k)
	}
}

// newKernel returns the kernel of the i-th proxy. Only that of the first start is recorded.
func (w *simulation) newKernel(i int, p steering.Proxy) *steering.Kernel {
	regionOf := make(map[string]string)
	for _, r := range w.scenario.Regions {
		regionOf[r.Name+"-a"] = r.Name
	}
	var record func(steering.Call)
	if i == 0 && len(w.ended) == 0 {
		record = w.record
	}
	return steering.New(steering.Config{
		Record: record, Observe: w.retryLog.recordEvent,
		Name: p.Name, Domain: p.Domain, Off: w.scenario.MechanismsOff, EndsToCondemn: w.scenario.QuarantineThreshold, Region: p.Region, RegionOf: regionOf, Placer: w.placer, Seed: [32]byte{byte(i), byte(w.seed), byte(i >> 8)},
		Bounds: steering.Bounds{Retry: retryBudget, ColdFactor: 1.5, ColdSlack: 5},
	})
}

func (w *simulation) configure(k *steering.Kernel, region string) {
	bounds := &routing.Service{Name: service, Connections: w.scenario.MaxConnections}
	k.SetTable(routing.NewTable(1, w.scenario.routingRoutes(), []*routing.Service{bounds}, routing.Limits{}).WithAccounts(w.accounts()))
	for _, s := range w.servers {
		k.RegisterServer(w.clock(), w.registration(s))
		k.RecordRoundTrip(s.region+"-a", w.roundTrip(region, s.region))
	}
}

// accounts returns the accounts of the callers, or nil if none is restricted to a region.
func (w *simulation) accounts() *account.Table {
	if w.scenario.RestrictedShare == 0 {
		return nil
	}
	var list []*account.Account
	for i := range accountCount {
		a := &account.Account{Name: strconv.Itoa(i), Keys: []account.Key{accountKey(i)}}
		if float64(i) < w.scenario.RestrictedShare*accountCount {
			a.Regions = []string{w.scenario.RestrictedTo}
		}
		list = append(list, a)
	}
	table, _ := account.NewTable(list)
	return table
}

func accountKey(i int) account.Key {
	key, _ := account.HashKey("key-" + strconv.Itoa(i))
	return key
}

func (w *simulation) registration(s *server) routing.Server {
	return routing.Server{ID: s.id, Service: service, Domain: s.region + "-a", Slots: w.scenario.SlotsPerServer}
}

func (w *simulation) roundTrip(a, b string) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return w.scenario.RoundTrip.Std()
}

// scheduleArrivals schedules the requests of one region's callers as a Poisson process.
func (w *simulation) scheduleArrivals(regionIndex int, r Region) {
	maxRate := r.PerSecond * (1 + w.scenario.RateAmplitude)
	if w.scenario.Surge != nil {
		maxRate *= max(1, w.scenario.Surge.RateFactor)
	}
	interval := func() time.Duration { return time.Duration(w.random.ExpFloat64() / maxRate * float64(time.Second)) }
	var next func()
	next = func() {
		if w.Now >= w.scenario.Duration.Std() {
			return
		}
		// Arrivals are generated at the maximum rate and thinned out to the current rate.
		if w.scenario.constantRate() || w.random.Float64()*maxRate < r.PerSecond*w.rateFactor(regionIndex) {
			w.createRequest(regionIndex, r.Name)
		}
		w.After(interval(), next)
	}
	w.After(interval(), next)
}

// rateFactor returns a region's current request rate as a multiple of its mean.
func (w *simulation) rateFactor(regionIndex int) float64 {
	if w.Now < w.scenario.HalfRateUntil.Std() {
		return initialRateFactor
	}
	if w.scenario.Surge.activeIn(w.scenario.Regions[regionIndex].Name, w.Now) {
		return w.scenario.Surge.RateFactor
	}
	if w.scenario.RateAmplitude == 0 {
		return 1
	}
	periods := w.Now.Seconds()/w.scenario.RatePeriod.Std().Seconds() + float64(regionIndex)/float64(len(w.scenario.Regions))
	return 1 + w.scenario.RateAmplitude*math.Sin(2*math.Pi*periods)
}

func (w *simulation) createRequest(regionIndex int, region string) {
	w.result.Sent++
	w.sentByRegion[region]++
	object := ""
	if !w.scenario.NoObjects {
		object = strconv.FormatInt(int64(regionIndex*w.scenario.ObjectsPerRegion+w.drawObject()), 16)
	}
	req := &request{region: region, startedAt: w.Now, route: w.drawRoute(), object: object, retriesLeft: w.scenario.MaxRetries}
	if len(w.routes) > 1 {
		req.object = req.route.Name + "-" + object
	}
	w.recordRouteSent(req)
	if w.scenario.RestrictedShare > 0 {
		req.credential = account.Credential{State: account.CredentialPresent, Key: accountKey(w.random.IntN(accountCount))}
	}
	w.sendToProxy(req)
}

// drawObject draws the index of an object within its region.
func (w *simulation) drawObject() int {
	if w.scenario.Skew == 0 {
		return w.random.IntN(w.scenario.ObjectsPerRegion)
	}
	if len(w.cumulativeWeights) == 0 {
		sum := 0.0
		for n := range w.scenario.ObjectsPerRegion {
			sum += math.Pow(float64(n+1), -w.scenario.Skew)
			w.cumulativeWeights = append(w.cumulativeWeights, sum)
		}
	}
	i, _ := slices.BinarySearch(w.cumulativeWeights, w.random.Float64()*w.cumulativeWeights[len(w.cumulativeWeights)-1])
	return i
}

// sendToProxy sends a request to a proxy of the caller's region, or to any proxy if the region has
// none.
func (w *simulation) sendToProxy(req *request) {
	req.kernel, req.proxyRegion = w.pickProxy(req.region)
	req.sentAt = w.Now
	w.nameAttempt(req)
	w.retryLog.recordRequest(w.Now, req)
	if req.proxyRegion == req.region {
		w.handleAtProxy(req)
		return
	}
	w.After(w.roundTrip(req.region, req.proxyRegion)/2, func() { w.handleAtProxy(req) })
}

func (w *simulation) handleAtProxy(req *request) {
	r := steering.Request{ID: strconv.Itoa(w.result.Sent), Host: host, Path: w.scenario.path(req.route), Object: req.object, Work: fingerprintOf(req.object), Credential: req.credential}
	if by := req.handedOverBy; by != nil {
		r.IsHandover, r.HandoverFrom, r.AttemptsUsed, r.ConnectionsLost, r.Deadline = true, by.kernel.Name(), req.attemptsUsed, req.connectionsLost, by.activeRequest.ExpiresAt
		r.IsCounted = req.isCounted
	}
	active, decision := req.kernel.BeginRequest(w.clock(), r)
	req.activeRequest = active
	w.applyDecision(req, decision)
}

func (w *simulation) applyDecision(req *request, d steering.Decision) {
	if d.SlotRelease != nil {
		w.sendSlotRelease(req.proxyRegion, *d.SlotRelease)
	}
	w.recordQuarantineRejection(req, d)
	w.scheduleAlert(req.kernel)
	switch {
	case d.OtherContinues:
	case w.isOver(req):
	case d.Handover != nil:
		w.handOver(req, d.Handover)
	case d.SlotRequest != nil && !w.oracle:
		w.sendSlotRequest(req, *d.SlotRequest)
	case d.Server != nil:
		s := w.byID[d.Server.ID]
		if w.oracle {
			s = w.oracleServer(req)
		}
		req.server = s
		if w.isCutOff(req.kernel) {
			w.failUnreachable(req)
			return
		}
		w.openConnection(req)
		w.scheduleHedge(req, d)
		w.regionCounts.record(w.Now, req.region, s.region)
		w.After(w.roundTrip(req.proxyRegion, s.region)/2, func() { w.arriveAtServer(req) })
	case req.handedOverBy != nil:
		w.returnHandover(req, d)
	case d.ReturnResponse && req.proxyRegion != req.region:
		w.After(w.roundTrip(req.region, req.proxyRegion)/2, func() { w.recordResponse(req) })
	case d.ReturnResponse:
		w.recordResponse(req)
	case req.crashing:
	case d.NotRun && req.retriesLeft > 0:
		w.recordCut(req, false)
		w.recordNotRun(req)
		req.retriesLeft--
		w.After(d.RetryAfter, func() { w.sendToProxy(req) })
	case d.NotRun:
		w.recordCut(req, false)
		w.recordNotRun(req)
		w.result.Rejected++
	default:
		w.recordCut(req, false)
		w.result.Failed++
	}
}

// oracleServer returns the choice of the Oracle placer: the server that responds first.
func (w *simulation) oracleServer(req *request) *server {
	var best *server
	bestLatency := time.Duration(math.MaxInt64)
	for _, s := range w.servers {
		if s.removed || w.inOutage(s) {
			continue
		}
		serviceTime := time.Duration(float64(req.route.ServiceTime.Std()) * w.slowdown(s))
		warmServiceTime := time.Duration(float64(serviceTime) * w.scenario.WarmFactor)
		if s.hasCached(req.activeRequest.Object) {
			serviceTime = warmServiceTime
		} else {
			serviceTime += warmServiceTime
		}
		excess := max(0, s.running+len(s.queue)+1-w.scenario.SlotsPerServer)
		latency := w.roundTrip(req.proxyRegion, s.region) + serviceTime + time.Duration(excess)*warmServiceTime/time.Duration(w.scenario.SlotsPerServer)
		if latency < bestLatency {
			best, bestLatency = s, latency
		}
	}
	return best
}

func (w *simulation) recordResponse(req *request) {
	latency := w.Now - req.startedAt
	w.recordCut(req, latency <= w.scenario.Timeout.Std())
	w.result.Latencies = append(w.result.Latencies, latency)
	if latency <= req.route.LatencyTarget.Std() {
		w.result.WithinTarget++
		w.recordRouteWithinTarget(req)
		w.withinTargetByRegion[req.region]++
		return
	}
	w.result.Late++
}

func (w *simulation) arriveAtServer(req *request) {
	req = w.receiveDuplicate(req)
	s := req.server
	if !s.crashed && !w.inOutage(s) {
		w.retryLog.recordArrival(w.Now, req)
	}
	w.rateLimitLog.recordArrival(w.Now, s.id, req.kernel.Name())
	w.recordDrainArrival(req)
	w.backoffLog.recordArrival(w.Now, s.id, req.kernel.Name())
	rejectsAtRandom := w.Now >= w.scenario.RejectFrom.Std() && w.Now < w.scenario.RejectTo.Std() && w.random.Float64() < w.scenario.RejectRatio
	switch {
	case w.inOutage(s):
		s.cached = nil
		w.endAttempt(req, steering.ResultUnreachable)
	case s.crashed:
		w.returnAttempt(req, steering.Attempt{Result: steering.ResultUnreachable, Refusing: true})
	case w.scenario.backoffRequest(s, w.Now) > 0:
		w.backoffLog.recordBackoff(w.Now, w.scenario.backoffRequest(s, w.Now), s.id, req.kernel.Name())
		w.endAttempt(req, steering.ResultRejected)
	case s.removed || rejectsAtRandom || s.running >= w.scenario.SlotsPerServer && len(s.queue) >= w.scenario.QueueCapacity:
		w.endAttempt(req, steering.ResultRejected)
	case s.running < w.scenario.SlotsPerServer:
		w.startRun(req)
	default:
		s.queue = append(s.queue, req)
	}
}

func (w *simulation) startRun(req *request) {
	s := req.server
	s.running++
	s.activeRequests = append(s.activeRequests, req)
	w.duplicateLog.ran[req.attemptID] = true
	if req.crashing {
		w.After(w.scenario.CrashingRequests.Delay.Std(), func() { w.crashFromRequest(req, s) })
		return
	}
	serviceTime := float64(req.route.ServiceTime.Std()) * w.slowdown(s) * w.drawRun(req)
	if w.scenario.Knee > 0 && float64(s.running) > w.scenario.Knee*float64(w.scenario.SlotsPerServer) {
		serviceTime *= w.scenario.KneeFactor
	}
	if s.hasCached(req.activeRequest.Object) {
		serviceTime *= w.scenario.WarmFactor
	} else {
		w.result.ColdRuns++
	}
	s.addToCache(req.activeRequest.Object, w.scenario.CacheCapacity)
	w.After(time.Duration(serviceTime), func() {
		if !slices.Contains(s.activeRequests, req) {
			// The server has crashed, or the request was cancelled.
			return
		}
		s.running--
		s.activeRequests = slices.DeleteFunc(s.activeRequests, func(other *request) bool { return other == req })
		w.endAttempt(req, steering.ResultResponded)
		w.startQueued(s)
	})
}

// startQueued starts the queued requests for which a server has free slots.
func (w *simulation) startQueued(s *server) {
	for len(s.queue) > 0 && s.running < w.scenario.SlotsPerServer {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if w.clock().After(next.activeRequest.ExpiresAt) {
			w.endAttempt(next, steering.ResultTimeout)
			continue
		}
		w.startRun(next)
	}
}

// slowdown returns the current factor on a server's service time.
func (w *simulation) slowdown(s *server) float64 {
	if s.index < max(1, w.scenario.SlowServers) && w.Now >= w.scenario.SlowFrom.Std() && w.Now < w.scenario.SlowTo.Std() {
		return s.serviceTimeFactor * w.scenario.SlowFactor
	}
	return s.serviceTimeFactor * w.slowTurnFactor(s)
}

// drawServiceTimeFactor draws the service time of one request as a multiple of the mean.
func (w *simulation) drawServiceTimeFactor() float64 {
	if w.scenario.ServiceTimeSigma > 0 {
		return math.Exp(w.scenario.ServiceTimeSigma*w.random.NormFloat64() - w.scenario.ServiceTimeSigma*w.scenario.ServiceTimeSigma/2)
	}
	return 1 + serviceTimeJitter*(2*w.random.Float64()-1)
}

// endAttempt returns a result to the proxy, with the load of the server if it reports it.
func (w *simulation) endAttempt(req *request, result steering.Result) {
	attempt := steering.Attempt{Result: result}
	if !w.scenario.NoLoadReports && result != steering.ResultConnectionLost {
		attempt.Loaded, attempt.Running, attempt.Waiting = true, req.server.running, len(req.server.queue)
		if result == steering.ResultResponded {
			// The load in a response includes the request it belongs to.
			attempt.Running++
		}
		w.reportSpeed(req.server, &attempt)
	}
	w.returnAttempt(req, attempt)
}

// returnAttempt returns the end of an attempt to the proxy, with the server's signal.
func (w *simulation) returnAttempt(req *request, attempt steering.Attempt) {
	attempt.Signal = w.signal(req.server, attempt.Result)
	delay := w.roundTrip(req.proxyRegion, req.server.region) / 2
	if w.isCutOff(req.kernel) {
		attempt, delay = steering.Attempt{Result: steering.ResultConnectionLost}, unacknowledgedTimeout
	}
	w.After(delay, func() {
		if req.cancelled {
			return
		}
		w.releaseConnection(req, attempt.Result)
		w.recordSignal(req, attempt.Signal)
		if attempt.Result == steering.ResultResponded && w.clock().After(req.activeRequest.ExpiresAt) {
			// The request timed out at the proxy before the response arrived.
			attempt = steering.Attempt{Result: steering.ResultTimeout}
		}
		attempt.Hedge = req.first != nil
		d := req.kernel.EndAttempt(w.clock(), req.activeRequest, attempt)
		w.applyDecision(w.concludeAttempt(req, d), d)
	})
}
