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
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// Oracle is a placer of this package: it knows every server's queue and
	// memory as they are and takes the server that answers first. It is greedy,
	// so a plan for the objects may do a little better.
	Oracle = "all-seeing"

	service  = "service"
	host     = "host"
	workVary = 0.15
	// accountsInAll is how many accounts there are, which send alike.
	accountsInAll = 10
	// calmShare is the rate while a load is calm, as a part of the load's.
	calmShare = 0.5
)

type (
	simulation struct {
		schedule.Schedule
		load    Scenario
		random  *rand.Rand
		servers []*server
		byID    map[string]*server
		proxies map[string][]*steering.Kernel
		// listed are the proxies that know of each other.
		listed  []steering.Proxy
		out     Result
		inRange map[string]int
		asked   map[string]int
		oracle  bool
		// holds passes what proxies tell each other of gates.
		holds  slotMessages
		record func(steering.Call)
		// upTo sums how often the objects up to each one are asked for, if they
		// differ.
		upTo   []float64
		shares regionCounts
		ends   crashState
		limits rateLimitLog
		// leaves are when proxies heard that servers leave.
		leaves firstHeard
		pauses backoffLog
	}

	request struct {
		kernel *steering.Kernel
		flight *steering.ActiveRequest
		// region is the caller's, entry that of the proxy that it asks.
		region string
		entry  string
		began  time.Duration
		// asked is when its caller sent it last.
		asked   time.Duration
		server  *server
		object  string
		returns int
		// credential is that of the caller's account, if there are any.
		credential account.Credential
		// deadly work ends its server.
		deadly bool
	}
)

// Simulate plays a load with a placer. Equal arguments give equal outcomes.
func Simulate(l Scenario, placer string, seed uint64) Result { return simulate(l, placer, seed, nil) }

// simulate does so and records the calls of the first proxy's kernel.
func simulate(l Scenario, placer string, seed uint64, record func(steering.Call)) Result {
	w := &simulation{
		record: record,
		load:   l, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*server),
		proxies: make(map[string][]*steering.Kernel), inRange: make(map[string]int), asked: make(map[string]int),
		shares: make(regionCounts),
		oracle: placer == Oracle,
	}
	if w.oracle {
		placer = steering.DefaultPlacer
	}
	w.build(placer, seed)
	for i, r := range l.Regions {
		w.arrivals(i, r)
	}
	if l.RemoveAt > 0 {
		w.After(l.RemoveAt.Std(), w.leave)
	}
	if l.Rollout != nil {
		w.After(l.Rollout.From.Std(), func() { w.replace(0) })
	}
	if len(l.ProxyLossRegions) > 0 {
		w.After(l.ProxyLossAt.Std(), w.strand)
	}
	if l.hasCrashes() {
		w.playEnds()
	}
	w.playLeaving()
	if len(l.ProxyLossRegions) > 0 || l.Knee > 0 || l.hasCrashes() || l.hasBackpressure() {
		w.After(tickEvery, w.tick)
	}
	for w.Next() {
	}
	w.out.WithinTargetByRegion = make(map[string]float64)
	for region, n := range w.asked {
		w.out.WithinTargetByRegion[region] = float64(w.inRange[region]) / float64(max(1, n))
	}
	w.out.MaxRegionShift = w.shares.shifted()
	w.out.RateLimits, w.out.Backoffs = w.limits.judge(l.RateLimits), w.pauses.judge()
	slices.Sort(w.out.Latencies)
	return w.out
}

func (w *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.Now) }

func (w *simulation) build(placer string, seed uint64) {
	regionOf := make(map[string]string)
	for _, r := range w.load.Regions {
		regionOf[r.Name+"-a"] = r.Name
		for i := range r.Servers {
			s := &server{id: serverID(r.Name, i), region: r.Name, number: i, slow: 1}
			if n := len(w.load.ServiceTimeFactors); n > 0 {
				s.slow = w.load.ServiceTimeFactors[len(w.servers)%n]
			}
			w.servers = append(w.servers, s)
			w.byID[s.id] = s
		}
	}
	for _, r := range w.load.Regions {
		for i := range w.load.ProxiesPerRegion {
			w.listed = append(w.listed, steering.Proxy{Name: fmt.Sprintf("%s-proxy-%d", r.Name, i), Domain: r.Name + "-a", Region: r.Name})
		}
	}
	for i, p := range w.listed {
		var record func(steering.Call)
		if i == 0 {
			record = w.record
		}
		k := steering.New(steering.Config{
			Record: record,
			Name:   p.Name, Domain: p.Domain, Off: w.load.MechanismsOff, EndsToCondemn: w.load.QuarantineThreshold, Region: p.Region, RegionOf: regionOf, Placer: placer, Seed: [32]byte{byte(i), byte(seed), byte(i >> 8)},
			Bounds: steering.Bounds{
				Retry: steering.RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5,
			},
		})
		k.SetProxies(time.Time{}, w.listed)
		w.configure(k, p.Region)
		w.proxies[p.Region] = append(w.proxies[p.Region], k)
	}
}

func (w *simulation) configure(k *steering.Kernel, region string) {
	route := &routing.Route{
		Name: "route", Host: host, Prefix: "/", Idempotent: true, Attempts: 2, Sticky: !w.load.NotSticky,
		Timeout: w.load.Timeout.Std(), Target: w.load.LatencyTarget.Std(), Parts: []routing.WeightedService{{Service: service, Weight: 1}},
	}
	bounds := &routing.Service{Name: service, Connections: w.load.MaxConnections}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Service{bounds}, routing.Limits{}).WithAccounts(w.accounts()))
	for _, s := range w.servers {
		k.RegisterServer(w.clock(), w.registration(s))
		k.RecordRoundTrip(s.region+"-a", w.roundTrip(region, s.region))
	}
}

// accounts are those of the callers, if some are bound to a region.
func (w *simulation) accounts() *account.Table {
	if w.load.RestrictedShare == 0 {
		return nil
	}
	var list []*account.Account
	for i := range accountsInAll {
		a := &account.Account{Name: strconv.Itoa(i), Keys: []account.Key{accountKey(i)}}
		if float64(i) < w.load.RestrictedShare*accountsInAll {
			a.Regions = []string{w.load.RestrictedTo}
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
	return routing.Server{ID: s.id, Service: service, Domain: s.region + "-a", Slots: w.load.SlotsPerServer}
}

func (w *simulation) roundTrip(a, b string) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return w.load.RoundTrip.Std()
}

// arrivals makes one region's callers ask, at random moments.
func (w *simulation) arrivals(i int, r Region) {
	most := r.PerSecond * (1 + w.load.RateAmplitude)
	if w.load.Surge != nil {
		most *= max(1, w.load.Surge.RateFactor)
	}
	pause := func() time.Duration { return time.Duration(w.random.ExpFloat64() / most * float64(time.Second)) }
	var next func()
	next = func() {
		if w.Now >= w.load.Duration.Std() {
			return
		}
		// Moments at the highest rate are thinned out to the rate of now.
		if w.load.constantRate() || w.random.Float64()*most < r.PerSecond*w.wave(i) {
			w.ask(i, r.Name)
		}
		w.After(pause(), next)
	}
	w.After(pause(), next)
}

// wave is a region's rate now, as a part of its mean.
func (w *simulation) wave(i int) float64 {
	if w.Now < w.load.HalfRateUntil.Std() {
		return calmShare
	}
	if w.load.Surge.activeIn(w.load.Regions[i].Name, w.Now) {
		return w.load.Surge.RateFactor
	}
	if w.load.RateAmplitude == 0 {
		return 1
	}
	turns := w.Now.Seconds()/w.load.RatePeriod.Std().Seconds() + float64(i)/float64(len(w.load.Regions))
	return 1 + w.load.RateAmplitude*math.Sin(2*math.Pi*turns)
}

func (w *simulation) ask(i int, region string) {
	w.out.Requests++
	w.asked[region]++
	object := ""
	if !w.load.NoObjects {
		object = strconv.FormatInt(int64(i*w.load.ObjectsPerRegion+w.draw()), 16)
	}
	j := &request{region: region, began: w.Now, object: object, returns: w.load.MaxRetries}
	if w.load.RestrictedShare > 0 {
		j.credential = account.Credential{State: account.CredentialPresent, Key: accountKey(w.random.IntN(accountsInAll))}
	}
	w.begin(j)
}

// draw draws an object among those of one region.
func (w *simulation) draw() int {
	if w.load.Skew == 0 {
		return w.random.IntN(w.load.ObjectsPerRegion)
	}
	if len(w.upTo) == 0 {
		sum := 0.0
		for n := range w.load.ObjectsPerRegion {
			sum += math.Pow(float64(n+1), -w.load.Skew)
			w.upTo = append(w.upTo, sum)
		}
	}
	i, _ := slices.BinarySearch(w.upTo, w.random.Float64()*w.upTo[len(w.upTo)-1])
	return i
}

// begin brings a caller to one of its region's proxies, or to any if it has none.
func (w *simulation) begin(j *request) {
	j.kernel, j.entry = w.entry(j.region)
	j.asked = w.Now
	if j.entry == j.region {
		w.receive(j)
		return
	}
	w.After(w.roundTrip(j.region, j.entry)/2, func() { w.receive(j) })
}

func (w *simulation) receive(j *request) {
	flight, decision := j.kernel.BeginRequest(w.clock(), steering.Request{ID: strconv.Itoa(w.out.Requests), Host: host, Path: "/", Object: j.object, Work: workOf(j.object), Credential: j.credential})
	j.flight = flight
	w.follow(j, decision)
}

func (w *simulation) follow(j *request, d steering.Decision) {
	if d.SlotRelease != nil {
		w.release(j.entry, *d.SlotRelease)
	}
	w.endsRefused(j, d)
	w.stir(j.kernel)
	switch {
	case d.SlotRequest != nil && !w.oracle:
		w.askFor(j, *d.SlotRequest)
	case d.Server != nil:
		s := w.byID[d.Server.ID]
		if w.oracle {
			s = w.best(j)
		}
		j.server = s
		w.shares.sent(w.Now, j.region, s.region)
		w.After(w.roundTrip(j.entry, s.region)/2, func() { w.arrive(j) })
	case d.ReturnResponse && j.entry != j.region:
		w.After(w.roundTrip(j.region, j.entry)/2, func() { w.answered(j) })
	case d.ReturnResponse:
		w.answered(j)
	case j.deadly:
	case d.NotRun && j.returns > 0:
		j.returns--
		w.After(d.RetryAfter, func() { w.begin(j) })
	case d.NotRun:
		w.out.Refused++
	default:
		w.out.Failed++
	}
}

// best is the all-seeing choice: the server that answers first.
func (w *simulation) best(j *request) *server {
	var best *server
	least := time.Duration(math.MaxInt64)
	for _, s := range w.servers {
		if s.gone || w.away(s) {
			continue
		}
		work := time.Duration(float64(w.load.ServiceTime.Std()) * w.slowness(s))
		warm := time.Duration(float64(work) * w.load.WarmFactor)
		if s.knows(j.flight.Object) {
			work = warm
		} else {
			work += warm
		}
		busy := max(0, s.running+len(s.waiting)+1-w.load.SlotsPerServer)
		took := w.roundTrip(j.entry, s.region) + work + time.Duration(busy)*warm/time.Duration(w.load.SlotsPerServer)
		if took < least {
			best, least = s, took
		}
	}
	return best
}

func (w *simulation) answered(j *request) {
	took := w.Now - j.began
	w.out.Latencies = append(w.out.Latencies, took)
	if took <= w.load.LatencyTarget.Std() {
		w.out.WithinTarget++
		w.inRange[j.region]++
		return
	}
	w.out.Late++
}

func (w *simulation) arrive(j *request) {
	s := j.server
	w.limits.arrived(w.Now, s.id, j.kernel.Name())
	w.left(j)
	w.pauses.arrived(w.Now, s.id, j.kernel.Name())
	refuses := w.Now >= w.load.RefuseFrom.Std() && w.Now < w.load.RefuseTo.Std() && w.random.Float64() < w.load.RefuseRatio
	switch {
	case w.away(s):
		s.recent = nil
		w.end(j, steering.ResultUnreachable)
	case s.ended:
		w.endWith(j, steering.Attempt{Result: steering.ResultUnreachable, Refusing: true})
	case w.load.backoffRequest(s, w.Now) > 0:
		w.pauses.asked(w.Now, w.load.backoffRequest(s, w.Now), s.id, j.kernel.Name())
		w.end(j, steering.ResultRefused)
	case s.gone || refuses || s.running >= w.load.SlotsPerServer && len(s.waiting) >= w.load.QueueCapacity:
		w.end(j, steering.ResultRefused)
	case s.running < w.load.SlotsPerServer:
		w.run(j)
	default:
		s.waiting = append(s.waiting, j)
	}
}

func (w *simulation) run(j *request) {
	s := j.server
	s.running++
	s.now = append(s.now, j)
	if j.deadly {
		w.After(w.load.CrashingRequests.Delay.Std(), func() { w.deadlyRan(j, s) })
		return
	}
	work := float64(w.load.ServiceTime.Std()) * w.slowness(s) * w.vary()
	if w.load.Knee > 0 && float64(s.running) > w.load.Knee*float64(w.load.SlotsPerServer) {
		work *= w.load.KneeFactor
	}
	if s.knows(j.flight.Object) {
		work *= w.load.WarmFactor
	} else {
		w.out.ColdRuns++
	}
	s.remember(j.flight.Object, w.load.CacheCapacity)
	w.After(time.Duration(work), func() {
		if s.ended {
			return
		}
		s.running--
		s.now = slices.DeleteFunc(s.now, func(other *request) bool { return other == j })
		w.end(j, steering.ResultAnswered)
		for len(s.waiting) > 0 && s.running < w.load.SlotsPerServer {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if w.clock().After(next.flight.ExpiresAt) {
				w.end(next, steering.ResultTimeout)
				continue
			}
			w.run(next)
		}
	})
}

// slowness is how many times as long a server takes now.
func (w *simulation) slowness(s *server) float64 {
	if s.number < max(1, w.load.SlowServers) && w.Now >= w.load.SlowFrom.Std() && w.Now < w.load.SlowTo.Std() {
		return s.slow * w.load.SlowFactor
	}
	return s.slow
}

// vary is one request's work as a part of the mean.
func (w *simulation) vary() float64 {
	if w.load.ServiceTimeSigma > 0 {
		return math.Exp(w.load.ServiceTimeSigma*w.random.NormFloat64() - w.load.ServiceTimeSigma*w.load.ServiceTimeSigma/2)
	}
	return 1 + workVary*(2*w.random.Float64()-1)
}

// end brings the result back to the proxy.
func (w *simulation) end(j *request, result steering.Result) {
	attempt := steering.Attempt{Result: result}
	if !w.load.NoLoadReports && result != steering.ResultConnectionLost {
		attempt.Loaded, attempt.Running, attempt.Waiting = true, j.server.running, len(j.server.waiting)
		if result == steering.ResultAnswered {
			// A server that answers counts the request that it answers.
			attempt.Running++
		}
	}
	w.endWith(j, attempt)
}

// endWith brings an attempt's end back to the proxy.
func (w *simulation) endWith(j *request, attempt steering.Attempt) {
	attempt.Signal = w.signal(j.server, attempt.Result)
	w.After(w.roundTrip(j.entry, j.server.region)/2, func() {
		w.told(j, attempt.Signal)
		if attempt.Result == steering.ResultAnswered && w.clock().After(j.flight.ExpiresAt) {
			// The proxy has gone before the server's word arrives.
			attempt = steering.Attempt{Result: steering.ResultTimeout}
		}
		w.follow(j, j.kernel.EndAttempt(w.clock(), j.flight, attempt))
	})
}
